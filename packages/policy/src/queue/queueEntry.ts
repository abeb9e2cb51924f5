import type { Milliseconds, Refusal, Timer } from "@arbutusdoor/common";
import type { Job } from "./job.js";
import type { JobResult } from "./jobResult.js";

/** A job in a queue together with what its submitter waits for. It settles exactly once. */
export class QueueEntry<Value> {
    readonly job: Job<Value>;
    /** Place in the order of importance; higher goes first. */
    readonly rank: number;
    readonly submittedAt: Milliseconds;
    /** Time that the job is expected to hold a slot. */
    readonly expected: Milliseconds;
    readonly result: Promise<JobResult<Value>>;
    /** Aborted to take the entry out of the line; `undefined` for one that starts at once. */
    withdrawal: AbortController | undefined;
    startedAt: Milliseconds | undefined;
    private settlement!: { resolve(submission: JobResult<Value>): void; reject(error: unknown): void; };
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

    /** Arms what may end the wait early: the deadline's timer and the caller's signal. */
    beginWait(deadline: Timer, onCallerGone: () => void): void {
        this.deadline = deadline;
        this.job.signal.addEventListener("abort", onCallerGone, { once: true });
        this.stopListening = () => this.job.signal.removeEventListener("abort", onCallerGone);
    }

    /** Disarms both. */
    endWait(): void {
        this.deadline?.cancel();
        this.stopListening?.();
        this.deadline = undefined;
        this.stopListening = undefined;
    }

    /** Ends the job unstarted. */
    refuse(refusal: Refusal): void {
        this.settlement.resolve({ kind: "refusal", refusal });
    }

    /** Runs the job and passes its outcome on. Never rejects. */
    async run(): Promise<void> {
        try {
            this.settlement.resolve({ kind: "done", value: await this.job.run() });
        }
        catch (error) {
            this.settlement.reject(error);
        }
    }
}
