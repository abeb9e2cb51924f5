const STEPS = 30;

/**
 * Returns the utilization of a server at which requests wait for `waitShare` of their work time on average. Uses Sakasegawa's approximation
 * for several slots, with arrivals and work times that are as irregular as exponential ones.
 */
export function getUtilizationForWait(slots: number, waitShare: number): number {
    let low = 0;
    let high = 1;
    for (let step = 0; step < STEPS; step++) {
        const middle = (low + high) / 2;
        const wait = middle ** (Math.sqrt(2 * (slots + 1)) - 1) / (slots * (1 - middle));
        if (wait < waitShare) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}
