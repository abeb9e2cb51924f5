import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeChange } from "./rangeChange.js";

/**
 * Returns the map with new owners, all under one new fencing token. An earlier owner stays listed until it is proved to have stopped. A
 * range is split where a change covers only a part of it.
 *
 * @param hasStopped whether a holder that a range lists is proved to have stopped serving it
 */
export function applyChanges(
    map: KeyMap,
    term: number,
    changes: readonly RangeChange[],
    hasStopped: (holder: KeyHolder, range: OwnedRange) => boolean,
): KeyMap {
    const fence = map.fence + 1;
    const sorted = [...changes].sort((one, other) => one.first - other.first);
    const ranges: OwnedRange[] = [];
    let index = 0;
    for (const range of map.ranges) {
        const kept = { ...range, previous: range.previous.filter(holder => !hasStopped(holder, range)) };
        let first = range.first;
        for (let change = sorted[index]; change && change.last <= range.last; change = sorted[++index]) {
            if (change.first > first) {
                ranges.push({ ...kept, first, last: change.first - 1 });
            }
            ranges.push(createOwnedRange(kept, change, fence, hasStopped));
            first = change.last + 1;
        }
        if (first <= range.last) {
            ranges.push({ ...kept, first });
        }
    }
    return { term, fence, ranges };
}

function createOwnedRange(
    range: OwnedRange,
    { first, last, owner }: RangeChange,
    fence: number,
    hasStopped: (holder: KeyHolder, range: OwnedRange) => boolean,
): OwnedRange {
    const earlier = hasStopped(range.owner, range) ? range.previous : [...range.previous, range.owner];
    // Earlier incarnations of the new owner are not listed: its own grants supersede theirs.
    return { first, last, owner, fence, previous: earlier.filter(({ id }) => id !== owner.id) };
}
