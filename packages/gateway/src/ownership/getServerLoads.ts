import type { KeyRange } from "../orders/keyRange.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";

/** Returns the requests a second of each owner in a key map. */
export function getServerLoads(
    map: KeyMap,
    getLoad: (range: KeyRange) => number,
): ReadonlyMap<string, number> {
    const loads = new Map<string, number>();
    for (const range of map.ranges) {
        const name = getHolderName(range.owner);
        loads.set(name, (loads.get(name) ?? 0) + getLoad(range));
    }
    return loads;
}
