import { pack } from "msgpackr";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import { UNKNOWN_ENTRY } from "./unknownEntry.js";

/**
 * Encodes a map. Each holder is written only once, so that thousands of ranges fit into one row. Behind the holders that ranges name stand
 * entries with a time after which earlier owners got no grants, and the positions of its ranges, and one with the time of unknown grants: earlier
 * versions do not read them.
 */
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
    const entries = holders.map(({ id, startedAt }): [string, number] => [id, startedAt]);
    const unknown = map.unknownUntil === undefined ? [] : [[UNKNOWN_ENTRY, map.unknownUntil]];
    return pack([map.term, map.fence, [...entries, ...listTimes(map), ...unknown], ranges]);
}

function listTimes({ ranges }: KeyMap): readonly (readonly [positions: string, time: number])[] {
    const positions = new Map<number, number[]>();
    ranges.forEach(({ previousUntil }, position) => {
        if (previousUntil !== undefined) {
            const listed = positions.get(previousUntil);
            if (listed) {
                listed.push(position);
            }
            else {
                positions.set(previousUntil, [position]);
            }
        }
    });
    return [...positions].map(([time, listed]) => [listed.join(" "), time]);
}
