import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeChange } from "./rangeChange.js";
import type { ServerCapacity } from "./serverCapacity.js";

/** A server with fewer ranges than this share of the mean counts as just joined. */
const JOINED_SHARE = 0.3;
/** Share of the mean that it gets at once; measured load decides the rest. */
const FIRST_SHARE = 0.6;

/** Plans changes that give servers that have joined a share of the ranges, taken from the servers that own most. */
export function planJoins(map: KeyMap, servers: readonly ServerCapacity[]): readonly RangeChange[] {
    const owned = new Map<string, OwnedRange[]>(servers.map(({ holder }) => [getHolderName(holder), []]));
    for (const range of map.ranges) {
        owned.get(getHolderName(range.owner))?.push(range);
    }
    const mean = map.ranges.length / servers.length;
    const changes: RangeChange[] = [];
    for (const { holder } of servers) {
        const own = owned.get(getHolderName(holder))!;
        if (own.length >= mean * JOINED_SHARE) {
            continue;
        }
        for (let taken = own.length; taken < Math.floor(mean * FIRST_SHARE); taken++) {
            const range = takeFromLargest([...owned.values()], mean);
            if (!range) {
                return changes;
            }
            changes.push({ first: range.first, last: range.last, owner: holder });
        }
    }
    return changes;
}

function takeFromLargest(owned: readonly OwnedRange[][], mean: number): OwnedRange | undefined {
    const largest = owned.reduce((most, ranges) => ranges.length > most.length ? ranges : most);
    // From the middle, so that neighbouring ranges do not all go to the same server.
    return largest.length > mean * FIRST_SHARE ? largest.splice(largest.length >> 1, 1)[0] : undefined;
}
