import type { Milliseconds, Refusal, Timer } from "@arbutusdoor/common";
import type { Job } from "./job.js";
import type { JobResult } from "./jobResult.js";

/** A job in a queue with the promise of its result, which settles exactly once. */
export class QueueEntry<Value> {
    readonly job: Job<Value>;
    /** Rank by priority and idempotency; higher goes first. */
    readonly rank: number;
    readonly submittedAt: Milliseconds;
    /** Time that the job is expected to hold a slot. */
    readonly expected: Milliseconds;
    readonly result: Promise<JobResult<Value>>;
    /** Aborted to remove the entry from the wait queue; `undefined` for one that starts at once. */
    withdrawal: AbortController | undefined;
    startedAt: Milliseconds | undefined;
    private settlement!: { resolve(result: JobResult<Value>): void; reject(error: unknown): void; };
    private deadline: Timer | undefined;
    private stopListening: (() => void) | undefined;

    constructor(job: Job<Value>, submittedAt: Milliseconds, expected: Milliseconds) {
        this.job = job;
        this.rank = 2 * job.priority + (job.isIdempotent ? 0 : 1);
        this.submittedAt = submittedAt;
        this.expected = expected;
        this.result = new Promise((resolve, reject) => {
            this.settlement = { resolve, reject };
        });
    }

    /** Sets what may end the wait early: the timer of the deadline and the listener on the caller's signal. */
    beginWait(deadline: Timer, onCallerGone: () => void): void {
        this.deadline = deadline;
        this.job.signal.addEventListener("abort", onCallerGone, { once: true });
        this.stopListening = () => this.job.signal.removeEventListener("abort", onCallerGone);
    }

    /** Removes both. */
    endWait(): void {
        this.deadline?.cancel();
        this.stopListening?.();
        this.deadline = undefined;
        this.stopListening = undefined;
    }

    /** Settles the result with a refusal; the job does not start. */
    refuse(refusal: Refusal): void {
        this.settlement.resolve({ kind: "refusal", refusal });
    }

    /** Runs the job and settles the result with its outcome. Never rejects. */
    async run(): Promise<void> {
        try {
            this.settlement.resolve({ kind: "done", value: await this.job.run() });
        }
        catch (error) {
            this.settlement.reject(error);
        }
    }
}
