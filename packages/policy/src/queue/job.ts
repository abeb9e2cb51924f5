import type { ClassId, Milliseconds } from "@arbutusdoor/common";

/** A unit of work that waits for a slot of a server. */
export type Job<Value> = {
    readonly id: string;
    readonly classId: ClassId;
    /** Higher goes first and is refused last. */
    readonly priority: number;
    /** Time of the queue's clock by which the answer has to begin. */
    readonly deadlineAt: Milliseconds;
    /** Of two jobs of the same priority the one that isn't idempotent goes first. */
    readonly isIdempotent: boolean;
    /** Does the work and holds the slot until it settles. Outcomes are values; a rejection is a broken invariant. */
    readonly run: () => Promise<Value>;
    /** Aborted when the caller has gone. Withdraws a waiting job; a running one has to watch it itself. */
    readonly signal: AbortSignal;
};
