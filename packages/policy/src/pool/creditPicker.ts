import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks any candidate with credit left: each outstanding request uses one until it ends. */
export class CreditPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        const open = candidates.filter(({ server }) =>
            this.getStats(server).outstanding < this.settings.credit
        );
        return open.length === 0 ? undefined : this.random.pick(open);
    }
}

POOL_PICKERS.register({
    name: "credit",
    make: (settings, random) => new CreditPicker(settings, random),
});
