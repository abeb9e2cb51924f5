import type { Milliseconds } from "@arbutusdoor/common";
import { isSameHolder } from "./isSameHolder.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeChange } from "./rangeChange.js";

type HolderPredicate = (holder: KeyHolder, range: OwnedRange) => boolean;
type GrantLimit = (holder: KeyHolder, range: OwnedRange) => Milliseconds | undefined;

/**
 * Returns the map with new owners, all under one new fencing token. An earlier owner stays listed until it is proved to have stopped. A
 * range is split where a change covers only a part of it.
 *
 * @param hasStopped whether a holder that a range lists is proved to have stopped serving it
 * @param getGrantLimit returns the store time after which a holder gets no grants of a range; `undefined` when it may get more
 * @param fence the new token; higher than any that was ever used
 */
export function applyChanges(
    map: KeyMap,
    term: number,
    changes: readonly RangeChange[],
    hasStopped: HolderPredicate,
    getGrantLimit: GrantLimit,
    fence = map.fence + 1,
): KeyMap {
    const sorted = [...changes].sort((one, other) => one.first - other.first);
    const ranges: OwnedRange[] = [];
    let index = 0;
    for (const range of map.ranges) {
        const kept = keepRange(range, hasStopped, getGrantLimit);
        let first = range.first;
        for (let change = sorted[index]; change && change.last <= range.last; change = sorted[++index]) {
            if (change.first > first) {
                ranges.push({ ...kept, first, last: change.first - 1 });
            }
            ranges.push(createOwnedRange(kept, change, fence, hasStopped, getGrantLimit));
            first = change.last + 1;
        }
        if (first <= range.last) {
            ranges.push({ ...kept, first });
        }
    }
    return { term, fence, ranges };
}

function keepRange(range: OwnedRange, hasStopped: HolderPredicate, getGrantLimit: GrantLimit): OwnedRange {
    const { previousUntil, ...rest } = range;
    const previous = range.previous.filter(holder => !hasStopped(holder, range));
    const until = previousUntil ?? getLatest(previous.map(holder => getGrantLimit(holder, range)));
    return { ...rest, previous, ...(previous.length > 0 && { previousUntil: until }) };
}

function createOwnedRange(
    range: OwnedRange,
    { first, last, owner }: RangeChange,
    fence: number,
    hasStopped: HolderPredicate,
    getGrantLimit: GrantLimit,
): OwnedRange {
    const isOwnerStopped = hasStopped(range.owner, range);
    const earlier = isOwnerStopped ? range.previous : [...range.previous, range.owner];
    // Earlier incarnations of the new owner stay listed: what proves that it has ended says nothing of their grants.
    const previous = earlier.filter(holder => !isSameHolder(holder, owner));
    const limits = [
        ...(range.previous.length > 0 ? [range.previousUntil] : []),
        ...(isOwnerStopped ? [] : [getGrantLimit(range.owner, range)]),
    ];
    return {
        first,
        last,
        owner,
        fence,
        previous,
        ...(previous.length > 0 && { previousUntil: getLatest(limits) }),
    };
}

/** Returns the latest of some times; `undefined` when one is not known or there is none. */
function getLatest(times: readonly (Milliseconds | undefined)[]): Milliseconds | undefined {
    const known = times.filter(time => time !== undefined);
    return known.length < times.length || times.length === 0 ? undefined : Math.max(...known);
}
