/**
 * A count proves a burst when it exceeds what was expected by this many standard deviations and requests. Chance alone does so less than
 * once in 10,000 counts; a service has hundreds of groups of keys, each counted several times a second.
 */
const NOISE_DEVIATIONS = 4;
const NOISE_REQUESTS = 3;

/**
 * Returns the requests a second of neighbouring keys in a burst; `undefined` when their counts do not prove one. With few requests of each
 * key, much of the difference between keys is chance: the estimates are drawn towards their mean by the share that chance explains.
 *
 * @param counts requests of each key in the interval, all above 0
 * @param knownRate requests a second of these keys as estimated before
 */
export function estimateBurst(
    counts: readonly number[],
    knownRate: number,
    intervalS: number,
): readonly number[] | undefined {
    const total = counts.reduce((sum, count) => sum + count, 0);
    const expected = knownRate * intervalS;
    if (total <= expected + NOISE_DEVIATIONS * Math.sqrt(expected) + NOISE_REQUESTS) {
        return undefined;
    }
    const mean = total / counts.length;
    const variance = counts.reduce((sum, count) => sum + (count - mean) ** 2, 0) / counts.length;
    // The variance of a count of independent arrivals is its mean.
    const chance = variance > 0 ? Math.min(1, mean / variance) : 1;
    return counts.map(count => (chance * mean + (1 - chance) * count) / intervalS);
}
