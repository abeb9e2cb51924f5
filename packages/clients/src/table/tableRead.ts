import type { Row } from "./row.js";

/** Result of a read: a consistent snapshot of the rows, or `unavailable` when the service gave no valid answer. */
export type TableRead =
    | { readonly kind: "rows"; readonly rows: readonly Row[]; }
    | { readonly kind: "unavailable"; readonly reason: string; };
