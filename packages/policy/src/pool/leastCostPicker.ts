import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks of two random candidates the one with the lower product of latency and this host's outstanding requests per slot. */
export class LeastCostPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate {
        const [first, second] = this.pickTwo(candidates);
        return this.getCost(second) < this.getCost(first) ? second : first;
    }

    private getCost({ server, slots }: PoolCandidate): number {
        return this.getLatency(server) * (this.getStats(server).outstanding + 1) / slots;
    }
}

POOL_PICKERS.register({
    name: "leastCost",
    make: (settings, random) => new LeastCostPicker(settings, random),
});
