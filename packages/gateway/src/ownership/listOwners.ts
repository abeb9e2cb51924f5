import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";

/** Returns the distinct owners of a map. */
export function listOwners(map: KeyMap): readonly KeyHolder[] {
    return [...new Map(map.ranges.map(({ owner }) => [getHolderName(owner), owner])).values()];
}
