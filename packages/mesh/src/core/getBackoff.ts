import type { Milliseconds, RandomSource } from "@arbutusdoor/common";

const MAX_DOUBLINGS = 20;
const MIN_FRACTION = 0.5;

/** Wait before the next attempt: doubles from `least` up to `most`, of which at least half is kept at random. */
export function getBackoff(
    failures: number,
    minimum: Milliseconds,
    maximum: Milliseconds,
    random: RandomSource,
): Milliseconds {
    const delay = Math.min(maximum, minimum * 2 ** Math.min(failures, MAX_DOUBLINGS));
    return delay * (MIN_FRACTION + (1 - MIN_FRACTION) * random.nextFraction());
}
