import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";

/** Returns the owners and earlier owners of a map, each as often as ranges list it. */
export function listHolders({ ranges }: KeyMap): readonly KeyHolder[] {
    return ranges.flatMap(({ owner, previous }) => [owner, ...previous]);
}
