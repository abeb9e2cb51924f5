import type { Row } from "./row.js";

/**
 * How a transaction ended: `committed` with the rows as written; `conflict` with the rows as they stand (nothing was written);
 * `notRun` (the service never took it); `unknown` (no answer: it may have taken effect, or may yet).
 */
export type TableOutcome =
    | { readonly kind: "committed"; readonly rows: readonly Row[]; }
    | { readonly kind: "conflict"; readonly rows: readonly Row[]; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
