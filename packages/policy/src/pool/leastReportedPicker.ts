import type { PoolCandidate } from "./poolCandidate.js";
import { PoolPicker } from "./poolPicker.js";
import { POOL_PICKERS } from "./poolPickers.js";

/** Picks the candidate with the lowest reported load per slot, at random among equals. */
export class LeastReportedPicker extends PoolPicker {
    protected override choose(candidates: readonly PoolCandidate[]): PoolCandidate | undefined {
        const lowest = Math.min(...candidates.map(getReportedShare));
        return this.random.pick(candidates.filter(candidate => getReportedShare(candidate) === lowest));
    }
}

function getReportedShare({ reportedLoad = 0, slots }: PoolCandidate): number {
    return reportedLoad / slots;
}

POOL_PICKERS.register({
    name: "leastReported",
    make: (settings, random) => new LeastReportedPicker(settings, random),
});
