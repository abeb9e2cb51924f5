import type { Violation } from "./simulation/violation.js";

/** Result of one random run; the same seed gives the same result. */
export type RandomRunResult = {
    readonly seed: number;
    readonly faults: readonly string[];
    readonly violations: readonly Violation[];
    /** Whether every key was answered again after all faults had ended. */
    readonly isServedAgain: boolean;
    readonly answered: number;
    /** Rows written, without the coordinator's renewals: too many writes are a fault too. */
    readonly rowsWritten: number;
};
