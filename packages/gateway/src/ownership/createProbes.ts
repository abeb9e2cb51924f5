import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyOrder } from "./keyOrder.js";

/** Creates releases that probe holders without keys: each has the current fencing token of a range of which the holder has nothing. */
export function createProbes(
    { ranges: [range] }: KeyMap,
    holders: readonly KeyHolder[],
): readonly KeyOrder[] {
    if (!range) {
        return [];
    }
    const { fence, first, last } = range;
    return holders.map(holder => ({ kind: "release", first, last, fence, holder, handover: undefined }));
}
