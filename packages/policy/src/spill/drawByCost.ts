import type { RandomSource } from "@arbutusdoor/common";
import type { ServerEstimate } from "./serverEstimate.js";

/**
 * At 8, a server of twice the cost gets one request in 250, and one of a tenth more gets half as many. At 4, few hosts that see most of a
 * server's requests themselves made too little of that; choosing the best alone sends the requests of all hosts to one server.
 */
const SHARPNESS = 8;

/**
 * Draws a candidate that is expected to answer soon. The draw is random, since the estimates of one host are coarse and those of all hosts are
 * alike. Requests of this host that are outstanding at a server raise its cost, so that a host with many requests spreads them evenly.
 */
export function drawByCost(estimates: readonly ServerEstimate[], random: RandomSource): ServerEstimate {
    const costs = estimates.map(({ candidate, expectedMs, outstanding }) =>
        Math.max(1, expectedMs) * (outstanding + 1) / candidate.slots
    );
    const lowest = Math.min(...costs);
    const weights = costs.map(cost => (lowest / cost) ** SHARPNESS);
    let left = random.nextFraction() * weights.reduce((sum, weight) => sum + weight, 0);
    const index = weights.findIndex(weight => (left -= weight) < 0);
    return estimates[index] ?? estimates.at(-1)!;
}
