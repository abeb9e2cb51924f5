import type { Milliseconds } from "@arbutusdoor/common";

/** What a caller asks for in its header fields. */
export type CallerOptions = {
    /** Time until the head of the answer must be there. */
    readonly deadline: Milliseconds;
    /** The caller's own name for once-only work, if it gave one. */
    readonly idempotencyKey: string | undefined;
};
