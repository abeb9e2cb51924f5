import { getFairShare } from "./getFairShare.js";
import type { Move } from "./move.js";
import type { MovePlanInput } from "./movePlanInput.js";
import type { Placement } from "./placement.js";

/** Returns splits of very hot keys from slices that they share with others: each gets a slice of its own on the same server. */
export function findSplits(placements: readonly Placement[], input: MovePlanInput): Move[] {
    const { splitShare, maxSingleKeySlices } = input.settings;
    const fairShare = getFairShare(input);
    const singles = input.assignment.filter(({ isSingleKey }) => isSingleKey).length;
    const splits: Move[] = [];
    for (const { slice, key, load } of input.loads.topKeys) {
        const isHot = load / fairShare >= splitShare;
        const owner = placements.find(({ slices }) => slices.some(placed => placed.slice === slice));
        const placed = owner?.slices.find(other => other.slice === slice);
        if (!isHot || !owner || !placed || placed.isPinned || placed.isSingleKey) {
            continue;
        }
        if (singles + splits.length < maxSingleKeySlices && owner.state === "active") {
            splits.push({ kind: "split", slice, key, server: owner.server });
        }
    }
    return splits;
}
