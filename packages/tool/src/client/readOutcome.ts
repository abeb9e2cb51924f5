import type { CallFailure } from "./callFailure.js";

/** Outcome of a call that only reads. */
export type ReadOutcome<Body> =
    | { readonly kind: "answer"; readonly host: string; readonly body: Body; }
    | { readonly kind: "refused"; readonly host: string; readonly json: unknown; readonly reason: string; }
    | { readonly kind: "unreachable"; readonly failures: readonly CallFailure[]; };
