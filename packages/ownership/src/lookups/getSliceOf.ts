import { getKeyHash, type ServiceId } from "@arbutusdoor/common";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";

/** Returns the slice that a key of a service belongs to, or `undefined` if no assignment is known. */
export function getSliceOf(state: HostState, service: ServiceId, key: string): Slice | undefined {
    const index = state.slices[service];
    if (!index) {
        return undefined;
    }
    const own = Object.hasOwn(index.keys, key) ? index.keys[key] : undefined;
    return own ?? findRange(index.ranges, getKeyHash(key));
}

function findRange(ranges: readonly Slice[], position: number): Slice | undefined {
    let low = 0;
    let high = ranges.length - 1;
    while (low <= high) {
        const middle = (low + high) >> 1;
        const range = ranges[middle]!;
        if (position < range.from) {
            high = middle - 1;
        }
        else if (position >= range.to) {
            low = middle + 1;
        }
        else {
            return range;
        }
    }
    return undefined;
}
