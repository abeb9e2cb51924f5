import type { Logger } from "@arbutusdoor/common";

/** Logs when the table service stops answering the writes of intents, and when it answers again. */
export class TableAvailability {
    private readonly logger: Logger;
    private isOut = false;

    constructor(logger: Logger) {
        this.logger = logger;
    }

    /** Notes how a write ended. */
    recordResult(result: "committed" | "conflict" | "notRun" | "unknown"): void {
        const isOut = result === "notRun" || result === "unknown";
        if (isOut !== this.isOut) {
            this.isOut = isOut;
            this.logger.log(isOut ? "tableUnavailable" : "tableRecovered", { for: "intents" });
        }
    }
}
