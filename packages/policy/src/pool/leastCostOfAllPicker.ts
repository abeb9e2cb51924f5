import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/**
 * Picks the candidate with the lowest product of latency, this host's outstanding requests per slot and the candidate's cost factor,
 * at random among equals. For small pools that few hosts share.
 */
export class LeastCostOfAllPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        let best: PoolCandidate | undefined;
        let bestCost = Infinity;
        let equals = 0;
        for (const candidate of candidates) {
            const cost = this.getCost(candidate);
            equals = cost === bestCost ? equals + 1 : 1;
            if (cost < bestCost || (cost === bestCost && this.random.nextInteger(equals) === 0)) {
                best = candidate;
                bestCost = cost;
            }
        }
        return best;
    }

    private getCost({ costFactor = 1, server, slots }: PoolCandidate): number {
        return this.getLatency(server) * (this.getStats(server).outstanding + 1) * costFactor / slots;
    }
}

POOL_PICKERS.register({
    name: "leastCostOfAll",
    make: (settings, random) => new LeastCostOfAllPicker(settings, random),
});
