import type { AttemptResult } from "./attemptResult.js";
import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";
import type { ServerStats } from "./serverStats.js";

const MIN_CREDIT = 1;
const MAX_CREDIT = 64;
const DECREASE = 0.7;
const TOLERATED_FACTOR = 2;

/** Picks any candidate with credit left; credit grows with fast answers and shrinks with slow ones, refusals and failures. */
export class RateCreditPicker extends PoolPicker {
    private usualMs: number | undefined;

    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        const open = candidates.filter(({ server }) => {
            const { outstanding, credit } = this.getStats(server);
            return outstanding < credit;
        });
        return open.length === 0 ? undefined : this.random.pick(open);
    }

    protected override adaptCredit(stats: ServerStats, result: AttemptResult): void {
        const isFast = result.kind === "answered"
            && result.durationMs <= TOLERATED_FACTOR * (this.usualMs ?? result.durationMs);
        if (result.kind === "answered") {
            const usual = this.usualMs ?? result.durationMs;
            this.usualMs = usual + this.settings.newestWeight * 0.1 * (result.durationMs - usual);
        }
        const credit = isFast ? stats.credit + 1 / stats.credit : stats.credit * DECREASE;
        stats.credit = Math.min(MAX_CREDIT, Math.max(MIN_CREDIT, credit));
    }
}

POOL_PICKERS.register({
    name: "rateCredit",
    make: (settings, random) => new RateCreditPicker(settings, random),
});
