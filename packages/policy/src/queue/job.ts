import type { ClassId, Milliseconds } from "@arbutusdoor/common";

/** A unit of work that waits for a slot of a server. */
export type Job<Value> = {
    readonly id: string;
    readonly classId: ClassId;
    /** Higher goes first and is refused last. */
    readonly priority: number;
    /** Time on the queue's clock by which the answer has to begin. */
    readonly deadlineAt: Milliseconds;
    /** Of two jobs of the same priority the one that isn't idempotent goes first. */
    readonly isIdempotent: boolean;
    /** Does the work; the job holds its slot until this settles. Outcomes are values; a rejection is a broken invariant. */
    readonly run: () => Promise<Value>;
    /** Aborted when the caller has disconnected. Removes a waiting job; a running one has to observe it itself. */
    readonly signal: AbortSignal;
};
