import type { RandomRunResult } from "./randomRunResult.js";

const MOST_ROWS_WRITTEN = 200;

/** Whether a walk ended badly: a broken promise, a key that is not served again, or a storm of writes. */
export function hasFailed({ violations, isServedAgain, rowsWritten }: RandomRunResult): boolean {
    return violations.length > 0 || !isServedAgain || rowsWritten > MOST_ROWS_WRITTEN;
}
