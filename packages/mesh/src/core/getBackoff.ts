import type { Milliseconds, RandomSource } from "@arbutusdoor/common";

const MAX_DOUBLINGS = 20;
const LEAST_PART = 0.5;

/** Wait before the next attempt: doubles from `least` up to `most`, of which at least half is kept at random. */
export function getBackoff(
    failures: number,
    least: Milliseconds,
    most: Milliseconds,
    random: RandomSource,
): Milliseconds {
    const full = Math.min(most, least * 2 ** Math.min(failures, MAX_DOUBLINGS));
    return full * (LEAST_PART + (1 - LEAST_PART) * random.nextFraction());
}
