import type { KeyRange } from "../orders/keyRange.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyHolder } from "./keyHolder.js";
import type { KeyMap } from "./keyMap.js";
import type { RangeChange } from "./rangeChange.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import type { ServerCapacity } from "./serverCapacity.js";

/** A range, or a part of one, that can change hands by itself. */
type Piece = KeyRange & { readonly load: number; };

/** A server with what it carries. */
type Carrier = {
    readonly holder: KeyHolder;
    readonly capacity: number;
    load: number;
    readonly pieces: Piece[];
};

/**
 * Moves the hottest ranges from the servers that are used most to those used least, until they are alike or the limit is reached. A
 * range that is too hot for one server is divided by the load of its keys.
 *
 * @param getKeyLoads measured requests a second of the keys of a range that had any, in order
 * @param mayMove whether a range may change hands now
 */
export function planRebalance(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: (range: KeyRange) => readonly (readonly [key: number, load: number])[],
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
): readonly RangeChange[] {
    const carriers = newCarriers(map, servers, getKeyLoads, mayMove, settings);
    const changes: RangeChange[] = [];
    const totalCapacity = sum(carriers.map(({ capacity }) => capacity));
    const mean = sum(carriers.map(({ load }) => load)) / totalCapacity;
    while (changes.length < settings.moveLimit) {
        const sorted = [...carriers].sort((one, other) => getUtilization(other) - getUtilization(one));
        const change = findMove(sorted, mean, settings);
        if (!change) {
            break;
        }
        changes.push(change);
    }
    return changes;
}

function findMove(
    sorted: readonly Carrier[],
    mean: number,
    settings: RebalanceSettings,
): RangeChange | undefined {
    const to = sorted.at(-1);
    const limit = Math.max(settings.minUtilization, mean * (1 + settings.tolerance));
    for (const from of sorted) {
        if (!to || from === to || getUtilization(from) <= limit) {
            return undefined;
        }
        const piece = takeBestPiece(from, to);
        if (piece) {
            from.load -= piece.load;
            to.load += piece.load;
            return { first: piece.first, last: piece.last, owner: to.holder };
        }
    }
    return undefined;
}

/** The hottest piece whose move leaves the receiver less used than the giver was. */
function takeBestPiece(from: Carrier, to: Carrier): Piece | undefined {
    const before = getUtilization(from);
    let best = -1;
    from.pieces.forEach((piece, index) => {
        const isBetter = (to.load + piece.load) / to.capacity < before;
        if (piece.load > 0 && isBetter && piece.load > (from.pieces[best]?.load ?? 0)) {
            best = index;
        }
    });
    return best < 0 ? undefined : from.pieces.splice(best, 1)[0];
}

function newCarriers(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: (range: KeyRange) => readonly (readonly [number, number])[],
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
): readonly Carrier[] {
    const carriers = new Map(
        servers.map(({ capacity, holder }): [string, Carrier] => [
            getHolderName(holder),
            { holder, capacity, load: 0, pieces: [] },
        ]),
    );
    let room = settings.rangeLimit - map.ranges.length;
    for (const range of map.ranges) {
        const carrier = carriers.get(getHolderName(range.owner));
        const loads = getKeyLoads(range);
        if (!carrier || loads.length === 0) {
            continue;
        }
        const load = sum(loads.map(([, keyLoad]) => keyLoad));
        carrier.load += load;
        if (mayMove(range)) {
            const share = room > 0 ? carrier.capacity * settings.splitShare : Infinity;
            const pieces = divide(range, loads, share);
            room -= pieces.length - 1;
            carrier.pieces.push(...pieces);
        }
    }
    return [...carriers.values()];
}

/** Divides a range between keys so that no piece of several keys has more than `share`. */
function divide(
    range: KeyRange,
    loads: readonly (readonly [key: number, load: number])[],
    share: number,
): readonly Piece[] {
    const pieces: Piece[] = [];
    let first = range.first;
    let load = 0;
    for (const [key, keyLoad] of loads) {
        if (load > 0 && load + keyLoad > share && key > first) {
            pieces.push({ first, last: key - 1, load });
            first = key;
            load = 0;
        }
        load += keyLoad;
    }
    pieces.push({ first, last: range.last, load });
    return pieces;
}

function getUtilization({ capacity, load }: Carrier): number {
    return load / capacity;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
