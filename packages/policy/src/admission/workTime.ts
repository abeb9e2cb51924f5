import type { Milliseconds } from "@arbutusdoor/common";

/** Answers below the estimate; a low quantile, since most answers of a busy server contain time in its queue. */
const QUANTILE = 0.3;
/** Relative step of the estimate with each answer: 50 answers move it by at most a factor of 4. */
const STEP = 0.04;

/** Estimates the usual time that work takes on a server, without its queue, from durations of answers. */
export class WorkTime {
    private estimate: Milliseconds | undefined;

    /** The estimate; `undefined` before the first answer. */
    get value(): Milliseconds | undefined {
        return this.estimate;
    }

    /** Records how long an answer took. */
    record(durationMs: Milliseconds): void {
        if (this.estimate === undefined) {
            this.estimate = Math.max(1, durationMs);
            return;
        }
        const factor = durationMs > this.estimate ? 1 + STEP * QUANTILE : 1 - STEP * (1 - QUANTILE);
        this.estimate = Math.max(1, this.estimate * factor);
    }
}
