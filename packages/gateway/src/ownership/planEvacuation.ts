import { getHolderName } from "./getHolderName.js";
import { isSameHolder } from "./isSameHolder.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnedRange } from "./ownedRange.js";
import type { RangeChange } from "./rangeChange.js";
import type { ServerCapacity } from "./serverCapacity.js";

/**
 * Plans new owners for the ranges whose owner cannot keep them. A newer incarnation of the same server takes its ranges over; other ranges
 * go to the servers with the least load for their capacity.
 *
 * @param servers servers that may own keys
 * @param mustLeave whether an owner cannot keep a range
 * @param getLoad load of a range in requests a second
 */
export function planEvacuation(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    mustLeave: (owner: KeyHolder, range: OwnedRange) => boolean,
    getLoad: (range: OwnedRange) => number,
): readonly RangeChange[] {
    if (servers.length === 0) {
        return [];
    }
    const loads = new Map(servers.map(({ holder }) => [getHolderName(holder), 0]));
    for (const range of map.ranges) {
        const name = getHolderName(range.owner);
        if (loads.has(name)) {
            loads.set(name, loads.get(name)! + getWeight(range, getLoad));
        }
    }
    const changes: RangeChange[] = [];
    const assign = (range: OwnedRange, owner: KeyHolder) => {
        const name = getHolderName(owner);
        loads.set(name, loads.get(name)! + getWeight(range, getLoad));
        if (!isSameHolder(owner, range.owner)) {
            changes.push({ first: range.first, last: range.last, owner });
        }
    };
    const unassigned: OwnedRange[] = [];
    for (const range of map.ranges.filter(range => mustLeave(range.owner, range))) {
        const newIncarnation = findNewIncarnation(range.owner, servers);
        if (newIncarnation) {
            assign(range, newIncarnation);
        }
        else {
            unassigned.push(range);
        }
    }
    unassigned.forEach(range => assign(range, findLeastLoaded(servers, loads)));
    return changes;
}

/** Returns the load of a range plus a little for each key, so that ranges without measured load spread too. */
function getWeight(range: OwnedRange, getLoad: (range: OwnedRange) => number): number {
    const LOAD_PER_KEY = 1e-3;
    return getLoad(range) + (range.last - range.first + 1) * LOAD_PER_KEY;
}

function findNewIncarnation(owner: KeyHolder, servers: readonly ServerCapacity[]): KeyHolder | undefined {
    return servers.find(({ holder }) => holder.id === owner.id && holder.startedAt > owner.startedAt)?.holder;
}

function findLeastLoaded(
    servers: readonly ServerCapacity[],
    loads: ReadonlyMap<string, number>,
): KeyHolder {
    let best = servers[0]!;
    const getRatio = ({ capacity, holder }: ServerCapacity) => loads.get(getHolderName(holder))! / capacity;
    for (const server of servers) {
        if (getRatio(server) < getRatio(best)) {
            best = server;
        }
    }
    return best.holder;
}
