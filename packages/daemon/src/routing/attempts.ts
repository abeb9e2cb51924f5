import { createRefusal, type Refusal } from "@arbutusdoor/common";

/** Attempts at one request so far, and what can truly be said of all of them together. */
export class Attempts {
    private retries = 0;
    private mayHaveRun = false;

    /** Attempts that were made, the first included. */
    get count(): number {
        return this.retries + 1;
    }

    /** Takes in how the last attempt ended. */
    recordRefusal(refusal: Refusal): void {
        this.mayHaveRun ||= refusal.outcome === "unknown";
    }

    /** Counts that the request is attempted again. */
    countRetry(): void {
        this.retries++;
    }

    /** The refusal of the request: not run only if no attempt can have run. */
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
