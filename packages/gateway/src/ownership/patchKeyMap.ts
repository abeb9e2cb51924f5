import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";

/** Returns the map with some ranges replaced. A range that is replaced in part keeps the rest. */
export function patchKeyMap(
    map: KeyMap,
    term: number,
    fence: number,
    patches: readonly OwnedRange[],
): KeyMap {
    if (map.ranges.length === 0) {
        return { term, fence, ranges: patches };
    }
    const ranges: OwnedRange[] = [];
    let index = 0;
    let covered = -1;
    for (const range of map.ranges) {
        let first = Math.max(range.first, covered + 1);
        for (let patch = patches[index]; patch && patch.first <= range.last; patch = patches[++index]) {
            if (patch.first > first) {
                ranges.push({ ...range, first, last: patch.first - 1 });
            }
            ranges.push(patch);
            covered = patch.last;
            first = patch.last + 1;
        }
        if (first <= range.last) {
            ranges.push({ ...range, first });
        }
    }
    return { term, fence, ranges };
}
