import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks a random candidate. */
export class RandomPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate {
        return this.random.pick(candidates);
    }
}

POOL_PICKERS.register({
    name: "random",
    make: (settings, random) => new RandomPicker(settings, random),
});
