import type { Milliseconds, RandomSource } from "@arbutusdoor/common";

const MAX_DOUBLINGS = 20;
const MIN_FRACTION = 0.5;

/** Returns the delay before the next attempt: exponential from `minimum` to `maximum`, with random jitter of up to half of it. */
export function getBackoff(
    failures: number,
    minimum: Milliseconds,
    maximum: Milliseconds,
    random: RandomSource,
): Milliseconds {
    const delay = Math.min(maximum, minimum * 2 ** Math.min(failures, MAX_DOUBLINGS));
    return delay * (MIN_FRACTION + (1 - MIN_FRACTION) * random.nextFraction());
}
