import { createRangeProgress } from "./createRangeProgress.js";
import type { KeyMap } from "./keyMap.js";
import type { RangeProgress } from "./rangeProgress.js";
import type { StopProof } from "./stopProof.js";

/**
 * Returns the progress with the ranges of a map that is committed now: that of the ranges from which they were made.
 *
 * @param progress progress with the ranges of the map before, by first key
 * @param frozen stop proofs of the owners from which ranges of the map before were to be taken, by first key
 */
export function updateProgress(
    { ranges: before }: KeyMap,
    progress: ReadonlyMap<number, RangeProgress>,
    map: KeyMap,
    frozen: ReadonlyMap<number, StopProof | undefined>,
): Map<number, RangeProgress> {
    const next = new Map<number, RangeProgress>();
    let index = 0;
    for (const range of map.ranges) {
        while (before[index] && before[index]!.last < range.first) {
            index++;
        }
        const source = before[index];
        const known = source && progress.get(source.first);
        const isSame = source?.fence === range.fence && source.first === range.first
            && source.last === range.last;
        const updated = known && isSame ? known : createRangeProgress(range, source, known);
        const removedOwner = source && frozen.get(source.first);
        if (removedOwner && source.fence !== range.fence) {
            updated.removedOwners.push(removedOwner);
        }
        next.set(range.first, updated);
    }
    return next;
}
