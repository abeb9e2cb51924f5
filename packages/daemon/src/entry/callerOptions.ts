import type { Milliseconds } from "@arbutusdoor/common";

/** Options that a caller sets in header fields. */
export type CallerOptions = {
    /** Time within which the head of the answer must arrive. */
    readonly deadline: Milliseconds;
    /** The caller's identifier of once-only work, if given. */
    readonly idempotencyKey: string | undefined;
};
