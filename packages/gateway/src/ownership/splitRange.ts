import type { KeyRange } from "../orders/keyRange.js";
import type { RangePart } from "./rangePart.js";

/**
 * Splits a range between keys so that no part with several keys has more load than `share`, and each hot key is a part of its own.
 *
 * @param loads requests a second of the keys that had any, in order
 * @param share `Infinity`: the range is not split
 */
export function splitRange(
    range: KeyRange,
    loads: readonly (readonly [key: number, load: number])[],
    share: number,
    hotLoad: number,
): readonly RangePart[] {
    const parts: RangePart[] = [];
    let { first } = range;
    let load = 0;
    let isHot = false;
    for (const [key, keyLoad] of loads) {
        if (load > 0 && key > first && load + keyLoad > share) {
            parts.push({ first, last: key - 1, load, isHot });
            first = key;
            load = 0;
            isHot = false;
        }
        load += keyLoad;
        isHot ||= keyLoad > hotLoad;
    }
    parts.push({ first, last: range.last, load, isHot });
    return parts;
}
