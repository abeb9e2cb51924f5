import type { KeyRange } from "../orders/keyRange.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { RangeChange } from "./rangeChange.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import type { ServerCapacity } from "./serverCapacity.js";

/** A range, or a part of one, that can be moved by itself. */
type RangePart = KeyRange & { readonly load: number; };

/** A server with its load. */
type ServerLoad = {
    readonly holder: KeyHolder;
    readonly capacity: number;
    load: number;
    readonly parts: RangePart[];
};

/**
 * Plans moves of the hottest ranges from the most utilized servers to the least utilized ones, until they are balanced or the limit is
 * reached. A range that is too hot for one server is split by the load of its keys.
 *
 * @param getKeyLoads measured requests a second of the keys of a range that had any, in order
 * @param mayMove whether a range may be moved now
 */
export function planRebalance(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: (range: KeyRange) => readonly (readonly [key: number, load: number])[],
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
): readonly RangeChange[] {
    const serverLoads = createServerLoads(map, servers, getKeyLoads, mayMove, settings);
    const changes: RangeChange[] = [];
    const totalCapacity = sum(serverLoads.map(({ capacity }) => capacity));
    const mean = sum(serverLoads.map(({ load }) => load)) / totalCapacity;
    while (changes.length < settings.moveLimit) {
        const sorted = [...serverLoads].sort((one, other) => getUtilization(other) - getUtilization(one));
        const change = findMove(sorted, mean, settings);
        if (!change) {
            break;
        }
        changes.push(change);
    }
    return changes;
}

function findMove(
    sorted: readonly ServerLoad[],
    mean: number,
    settings: RebalanceSettings,
): RangeChange | undefined {
    const to = sorted.at(-1);
    const limit = Math.max(settings.minUtilization, mean * (1 + settings.tolerance));
    for (const from of sorted) {
        if (!to || from === to || getUtilization(from) <= limit) {
            return undefined;
        }
        const part = takeBestPart(from, to);
        if (part) {
            from.load -= part.load;
            to.load += part.load;
            return { first: part.first, last: part.last, owner: to.holder };
        }
    }
    return undefined;
}

/** Removes and returns the hottest part whose move leaves the receiver less utilized than the giver was. */
function takeBestPart(from: ServerLoad, to: ServerLoad): RangePart | undefined {
    const before = getUtilization(from);
    let best = -1;
    from.parts.forEach((part, index) => {
        const isBetter = (to.load + part.load) / to.capacity < before;
        if (part.load > 0 && isBetter && part.load > (from.parts[best]?.load ?? 0)) {
            best = index;
        }
    });
    return best < 0 ? undefined : from.parts.splice(best, 1)[0];
}

function createServerLoads(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: (range: KeyRange) => readonly (readonly [number, number])[],
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
): readonly ServerLoad[] {
    const serverLoads = new Map(
        servers.map(({ capacity, holder }): [string, ServerLoad] => [
            getHolderName(holder),
            { holder, capacity, load: 0, parts: [] },
        ]),
    );
    let room = settings.rangeLimit - map.ranges.length;
    for (const range of map.ranges) {
        const serverLoad = serverLoads.get(getHolderName(range.owner));
        const loads = getKeyLoads(range);
        if (!serverLoad || loads.length === 0) {
            continue;
        }
        const load = sum(loads.map(([, keyLoad]) => keyLoad));
        serverLoad.load += load;
        if (mayMove(range)) {
            const share = room > 0 ? serverLoad.capacity * settings.splitShare : Infinity;
            const parts = split(range, loads, share);
            room -= parts.length - 1;
            serverLoad.parts.push(...parts);
        }
    }
    return [...serverLoads.values()];
}

/** Splits a range between keys so that no part with several keys has more load than `share`. */
function split(
    range: KeyRange,
    loads: readonly (readonly [key: number, load: number])[],
    share: number,
): readonly RangePart[] {
    const parts: RangePart[] = [];
    let first = range.first;
    let load = 0;
    for (const [key, keyLoad] of loads) {
        if (load > 0 && load + keyLoad > share && key > first) {
            parts.push({ first, last: key - 1, load });
            first = key;
            load = 0;
        }
        load += keyLoad;
    }
    parts.push({ first, last: range.last, load });
    return parts;
}

function getUtilization({ capacity, load }: ServerLoad): number {
    return load / capacity;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
