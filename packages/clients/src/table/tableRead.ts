import type { Row } from "./row.js";

/** Result of a read: the rows of one consistent moment, or none because the service gave no answer. */
export type TableRead =
    | { readonly kind: "rows"; readonly rows: readonly Row[]; }
    | { readonly kind: "unavailable"; readonly reason: string; };
