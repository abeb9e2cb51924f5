import type { Milliseconds, OutcomeKind } from "@arbutusdoor/common";
import type { RequestClass } from "@arbutusdoor/configuration";

/** Minimum time in ms until the deadline for a further attempt. */
const MIN_REMAINING_MS = 1;

/**
 * Whether a request may be retried.
 *
 * @param attempt attempts made so far, at least 1
 * @param tokens retries left in the budget of the class
 * @param remaining time in ms until the caller's deadline
 */
export function mayRetry(
    requestClass: Pick<RequestClass, "isIdempotent" | "retries">,
    outcome: OutcomeKind,
    attempt: number,
    tokens: number,
    remaining: Milliseconds,
): boolean {
    if (outcome === "answered" || (outcome === "unknown" && !requestClass.isIdempotent)) {
        return false;
    }
    return attempt <= requestClass.retries && tokens >= 1 && remaining >= MIN_REMAINING_MS;
}
