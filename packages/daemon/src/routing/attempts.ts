import { createRefusal, type Refusal } from "@arbutusdoor/common";

/** Counts the attempts at one request and derives an outcome that holds for all of them together. */
export class Attempts {
    private retries = 0;
    private mayHaveRun = false;

    /** Attempts so far, including the first. */
    get count(): number {
        return this.retries + 1;
    }

    /** Records how the last attempt ended. */
    recordRefusal(refusal: Refusal): void {
        this.mayHaveRun ||= refusal.outcome === "unknown";
    }

    /** Counts a retry of the request. */
    countRetry(): void {
        this.retries++;
    }

    /** Returns the refusal of the request: its outcome is `notRun` only if no attempt can have run. */
    getRefusal(last: Refusal): Refusal {
        if (last.outcome === "notRun" && this.mayHaveRun) {
            return createRefusal(
                "earlierAttemptUnknown",
                `an earlier attempt may have run; the last did not: ${last.detail}`,
            );
        }
        return last;
    }
}
