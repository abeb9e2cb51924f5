import type { Logger } from "@arbutusdoor/common";

/** Logs when the table service becomes unavailable for writes of intents, and when it recovers. */
export class TableAvailability {
    private readonly logger: Logger;
    private isOut = false;

    constructor(logger: Logger) {
        this.logger = logger;
    }

    /** Records how a write ended. */
    recordResult(result: "committed" | "conflict" | "notRun" | "unknown"): void {
        const isOut = result === "notRun" || result === "unknown";
        if (isOut !== this.isOut) {
            this.isOut = isOut;
            this.logger.log(isOut ? "tableUnavailable" : "tableRecovered", { for: "intents" });
        }
    }
}
