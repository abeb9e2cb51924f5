import { KEY_COUNT } from "./keyCount.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";

/**
 * Divides all keys into stripes and assigns these to the servers in turn. Busy keys are neighbours, so fine stripes spread them over the
 * servers before any load is measured.
 */
export function assignInitialKeys(
    holders: readonly KeyHolder[],
    stripeKeys: number,
    term: number,
    fence: number,
): KeyMap {
    const ranges: OwnedRange[] = [];
    for (let first = 0; first < KEY_COUNT; first += stripeKeys) {
        const owner = holders[ranges.length % holders.length] as KeyHolder;
        const last = Math.min(KEY_COUNT, first + stripeKeys) - 1;
        ranges.push({ first, last, owner, fence, previous: [] });
    }
    return { term, fence, ranges };
}
