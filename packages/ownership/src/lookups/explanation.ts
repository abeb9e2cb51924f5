import type { ServerRow } from "../rows/serverRow.js";
import type { Slice } from "../rows/slice.js";
import type { Route } from "./route.js";

/** Why a key is where it is, as one host sees it. */
export type Explanation = {
    readonly slice: Slice | undefined;
    readonly server: ServerRow | undefined;
    readonly route: Route;
    /** What the slice waits for, in words. */
    readonly waits: readonly string[];
};
