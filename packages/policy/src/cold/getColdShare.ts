import type { Milliseconds } from "@arbutusdoor/common";
import type { ColdLimit } from "./coldLimit.js";
import type { ColdShare } from "./coldShare.js";
import { getBinomialTail } from "./getBinomialTail.js";

const MS_PER_S = 1_000;
/**
 * Requests of one host are more than a second apart, so that it counts once in any second. The margin covers a request whose write the event
 * loop delays.
 */
const MIN_SPACING_MS: Milliseconds = 1_100;
/** Accepted probability that more hosts are chosen for a server than may send to it in the same second. */
const EXCESS_PROBABILITY = 1e-6;
/** Hosts that a coordinator does not count, since they have no link to it at the moment, as a part of those that it counts. */
const UNCOUNTED_SHARE = 0.1;
/** Halvings of the interval in which the probability lies. */
const BISECTIONS = 40;
const NOTHING: ColdShare = { probability: 0, spacingMs: Infinity };

/**
 * Returns the part of each of a number of hosts in what a cold server may get. Every chosen host sends at most once in any second, so the
 * limit holds as long as no more hosts are chosen than the limit allows requests. Each host is chosen by itself, so their number is random:
 * the probability is the largest for which an excess is as unlikely as `EXCESS_PROBABILITY`. Where the limit has room for one request of
 * every host, all are chosen.
 *
 * @param countedHosts the known number of hosts
 */
export function getColdShare(countedHosts: number, { perSecond, requestsPerS }: ColdLimit): ColdShare {
    const hosts = Math.ceil(countedHosts * (1 + UNCOUNTED_SHARE));
    const limit = Math.floor(perSecond);
    if (!(hosts >= 1) || !(limit >= 1) || !(requestsPerS > 0)) {
        return NOTHING;
    }
    const probability = hosts <= limit ? 1 : findProbability(hosts, limit);
    const spacingMs = Math.max(MIN_SPACING_MS, MS_PER_S * hosts * probability / requestsPerS);
    return { probability, spacingMs };
}

function findProbability(hosts: number, limit: number): number {
    let low = 0;
    let high = 1;
    for (let step = 0; step < BISECTIONS; step++) {
        const middle = (low + high) / 2;
        if (getBinomialTail(hosts, middle, limit) <= EXCESS_PROBABILITY) {
            low = middle;
        }
        else {
            high = middle;
        }
    }
    return low;
}
