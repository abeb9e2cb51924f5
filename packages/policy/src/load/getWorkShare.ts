import type { ObservedLoad } from "./observedLoad.js";

/**
 * Returns the share of an answer time that is work and not queueing. By Little's law, the requests that run and those that wait are in
 * the same proportion as work time and waiting time.
 */
export function getWorkShare({ running, waiting }: ObservedLoad): number {
    // The request that was just answered ran, also when the report no longer counts it.
    const ran = Math.max(1, running);
    return ran / (ran + waiting);
}
