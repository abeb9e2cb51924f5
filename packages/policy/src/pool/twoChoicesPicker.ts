import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks of two random candidates the one with fewer outstanding requests of this host per slot. */
export class TwoChoicesPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate {
        const [first, second] = this.pickTwo(candidates);
        return this.getShare(second) < this.getShare(first) ? second : first;
    }

    private getShare({ server, slots }: PoolCandidate): number {
        return this.getStats(server).outstanding / slots;
    }
}

POOL_PICKERS.register({
    name: "twoChoices",
    make: (settings, random) => new TwoChoicesPicker(settings, random),
});
