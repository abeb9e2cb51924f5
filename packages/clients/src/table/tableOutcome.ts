import type { Row } from "./row.js";

/**
 * Result of a transaction: `committed` with the rows as written; `conflict` with the rows as stored (nothing was written);
 * `notRun` (the service did not run it); `unknown` (no answer: it may have taken effect, or may do so later).
 */
export type TableOutcome =
    | { readonly kind: "committed"; readonly rows: readonly Row[]; }
    | { readonly kind: "conflict"; readonly rows: readonly Row[]; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
