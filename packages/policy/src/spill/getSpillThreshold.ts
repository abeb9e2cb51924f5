const BYTES_PER_KIB = 1_024;
const MAX_PRIORITY = 4;

/**
 * Shortage beyond that of other data centres that is accepted before requests leave. At 0.04 a queue of half a second left a share of an eighth
 * for seconds.
 */
const BASE_SHORTAGE = 0.06;
const SHORTAGE_PER_KIB = 0.03;
const SHORTAGE_PER_PRIORITY = 0.04;
const MAX_SHORTAGE = 0.6;

/** Part of the target latency that a request has to gain in another data centre. */
const BASE_GAIN = 0.05;
const GAIN_PER_KIB = 0.05;
const MAX_GAIN = 1;

/**
 * Returns from which shortage on requests of a route leave, and how much sooner (as part of the target latency) another data centre has to
 * answer them. Both grow with the bytes that leaving costs; less urgent routes leave at a larger shortage.
 */
export function getSpillThreshold(
    meanBytes: number,
    priority: number,
): { readonly shortage: number; readonly gain: number; } {
    const size = meanBytes / BYTES_PER_KIB;
    const urgency = Math.min(MAX_PRIORITY, priority);
    return {
        shortage: Math.min(
            MAX_SHORTAGE,
            BASE_SHORTAGE + SHORTAGE_PER_KIB * size + SHORTAGE_PER_PRIORITY * urgency,
        ),
        gain: Math.min(MAX_GAIN, BASE_GAIN + GAIN_PER_KIB * size),
    };
}
