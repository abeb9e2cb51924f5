import type { OwnedRange } from "./ownedRange.js";

/** Returns the range that contains a key; the ranges are sorted by key. */
export function findRange(ranges: readonly OwnedRange[], key: number): OwnedRange | undefined {
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
        const middle = (low + high) >> 1;
        const range = ranges[middle]!;
        if (key < range.first) {
            high = middle - 1;
        }
        else if (key > range.last) {
            low = middle + 1;
        }
        else {
            return range;
        }
    }
    return undefined;
}
