import { pack } from "msgpackr";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";

/** Encodes a map. Each holder is written only once, so that thousands of ranges fit into one row. */
export function encodeKeyMap(map: KeyMap): Uint8Array {
    const holders: KeyHolder[] = [];
    const indexes = new Map<string, number>();
    const getIndex = (holder: KeyHolder) => {
        const name = getHolderName(holder);
        const known = indexes.get(name);
        if (known !== undefined) {
            return known;
        }
        indexes.set(name, holders.length);
        return holders.push(holder) - 1;
    };
    const ranges = map.ranges.map(({ fence, last, owner, previous }) => [
        last,
        getIndex(owner),
        map.fence - fence,
        ...previous.map(getIndex),
    ]);
    return pack([map.term, map.fence, holders.map(({ id, startedAt }) => [id, startedAt]), ranges]);
}
