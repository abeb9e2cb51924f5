import type { RandomRunResult } from "./randomRunResult.js";

const MOST_ROWS_WRITTEN = 200;

/** Whether a random run failed: a violation, a key that is not served again, or too many writes. */
export function hasFailed({ violations, isServedAgain, rowsWritten }: RandomRunResult): boolean {
    return violations.length > 0 || !isServedAgain || rowsWritten > MOST_ROWS_WRITTEN;
}
