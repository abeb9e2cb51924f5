import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";

/** Returns the ranges of a map that differ from those of an earlier map, in order. */
export function listDifferences(before: KeyMap, after: KeyMap): readonly OwnedRange[] {
    const known = new Map(before.ranges.map(range => [range.first, range]));
    return after.ranges.filter(range => {
        const earlier = known.get(range.first);
        return !earlier || earlier.fence !== range.fence || earlier.last !== range.last
            || earlier.previous.length !== range.previous.length
            || earlier.previousUntil !== range.previousUntil;
    });
}
