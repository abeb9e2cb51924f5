/**
 * Outcome of an operation: `settled` with its typed outcome, `refused` before it began, `unreachable` (it certainly did not
 * take effect) or `unknown` (it may have taken effect, or may do so later).
 */
export type OperationOutcome<Outcome> =
    | { readonly kind: "settled"; readonly host: string; readonly outcome: Outcome; }
    | { readonly kind: "refused"; readonly reason: string; }
    | { readonly kind: "unreachable"; readonly reasons: readonly string[]; }
    | { readonly kind: "unknown"; readonly reasons: readonly string[]; };
