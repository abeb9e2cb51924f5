/**
 * How an operation ended: `settled` with its typed outcome, `refused` before it began, `unreachable` (it certainly did not
 * take effect) or `unknown` (it may have, or may yet).
 */
export type OperationOutcome<Outcome> =
    | { readonly kind: "settled"; readonly host: string; readonly outcome: Outcome; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "unreachable"; readonly reasons: readonly string[]; }
    | { readonly kind: "unknown"; readonly reasons: readonly string[]; };
