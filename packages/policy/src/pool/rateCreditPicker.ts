import type { AttemptResult } from "./attemptResult.js";
import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";
import type { ServerStats } from "./serverStats.js";

const MIN_CREDIT = 1;
const MAX_CREDIT = 64;
const DECREASE = 0.7;
const TOLERATED_FACTOR = 2;

/** Any candidate that has credit left; credit grows with prompt answers and shrinks with slow ones, refusals and failures. */
export class RateCreditPicker extends PoolPicker {
    private usualMs: number | undefined;

    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        const open = candidates.filter(({ server }) => {
            const { outstanding, credit } = this.getStats(server);
            return outstanding < credit;
        });
        return open.length === 0 ? undefined : this.random.pick(open);
    }

    protected override adaptCredit(observed: ServerStats, end: AttemptResult): void {
        const isPrompt = end.kind === "answered"
            && end.durationMs <= TOLERATED_FACTOR * (this.usualMs ?? end.durationMs);
        if (end.kind === "answered") {
            const usual = this.usualMs ?? end.durationMs;
            this.usualMs = usual + this.settings.newestWeight * 0.1 * (end.durationMs - usual);
        }
        const credit = isPrompt ? observed.credit + 1 / observed.credit : observed.credit * DECREASE;
        observed.credit = Math.min(MAX_CREDIT, Math.max(MIN_CREDIT, credit));
    }
}

POOL_PICKERS.register({
    name: "rateCredit",
    make: (settings, random) => new RateCreditPicker(settings, random),
});
