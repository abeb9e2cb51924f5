import type { Milliseconds } from "@arbutusdoor/common";
import { EARLIEST_RETURN_MS } from "./earliestReturnMs.js";

/** Callers wait for at most a third of the time that they have left. */
const MAX_SHARE = 1 / 3;

/**
 * Returns the delay after which a refused caller may come back: from when capacity is expected, spread over as much time again, so that
 * callers refused together do not return together. When that is longer than callers wait, it is spread over the second half of what
 * they wait.
 *
 * @param capacityMs time until capacity is expected
 * @param timeLeft time that the caller has left
 * @param fraction random number from 0 to 1
 */
export function getReturnDelay(
    capacityMs: Milliseconds,
    timeLeft: Milliseconds,
    fraction: number,
): Milliseconds {
    const longest = Math.max(0, timeLeft * MAX_SHARE);
    const start = Math.max(EARLIEST_RETURN_MS, capacityMs);
    const last = Math.min(longest, 2 * start);
    const first = Math.min(start, last / 2);
    return first + fraction * (last - first);
}
