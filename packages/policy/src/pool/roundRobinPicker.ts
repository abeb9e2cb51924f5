import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks the candidates in turn. */
export class RoundRobinPicker extends PoolPicker {
    private turn = 0;

    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        this.turn = (this.turn + 1) % Number.MAX_SAFE_INTEGER;
        return candidates[this.turn % candidates.length];
    }
}

POOL_PICKERS.register({
    name: "roundRobin",
    make: (settings, random) => new RoundRobinPicker(settings, random),
});
