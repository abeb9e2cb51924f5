import type { Violation } from "./session/violation.js";

/** Verdict on one walk; the same seed gives the same. */
export type RandomRunResult = {
    readonly seed: number;
    readonly faults: readonly string[];
    readonly violations: readonly Violation[];
    /** Whether every key was answered again after all faults were healed. */
    readonly isServedAgain: boolean;
    readonly answered: number;
    /** Rows written but the decider's renewals: a storm of writes is a fault too. */
    readonly rowsWritten: number;
};
