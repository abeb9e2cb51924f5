import type { ServerRow } from "../rows/serverRow.js";
import type { Slice } from "../rows/slice.js";
import type { Route } from "./route.js";

/** Explanation why a key is where it is, from one host's view. */
export type Explanation = {
    readonly slice: Slice | undefined;
    readonly server: ServerRow | undefined;
    readonly route: Route;
    /** What the slice waits for, in words. */
    readonly waits: readonly string[];
};
