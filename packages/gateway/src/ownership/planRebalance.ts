import { getUtilizationForWait } from "@arbutusdoor/policy";
import type { KeyRange } from "../orders/keyRange.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyMap } from "./keyMap.js";
import type { LastingLoad } from "./lastingLoad.js";
import type { RangeChange } from "./rangeChange.js";
import type { RangePart } from "./rangePart.js";
import type { RebalancePlan } from "./rebalancePlan.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import type { ServerCapacity } from "./serverCapacity.js";
import type { ServerUsage } from "./serverUsage.js";
import { splitRange } from "./splitRange.js";
import { takeRun } from "./takeRun.js";

type GetKeyLoads = (range: KeyRange) => readonly (readonly [key: number, load: number])[];

/**
 * A recent load counts as exceeded beyond this many standard deviations of the counted requests. The distance between the utilizations at
 * which keys leave a server and at which it gets none keeps noise from moving keys; with more deviations slow servers stayed overloaded.
 */
const RECENT_DEVIATIONS = 2;
/** The same of a lasting load, which has less noise. */
const LASTING_DEVIATIONS = 1;
/** A part that fits nowhere moves only if that reduces the highest utilization by this share. */
const MIN_GAIN = 0.15;
/** Excess below this share of a server's capacity is not worth a move. */
const MIN_EXCESS = 0.03;
/** At most this share of the servers is kept for hot keys. */
const MAX_RESERVED_SHARE = 0.25;

/**
 * Plans moves of ranges. A key that is too hot to share a server goes to the fastest server and the other keys leave that. Load moves off
 * overloaded servers at once, and off others only when they have been used more than the mean for some time; it is spread over the servers
 * that have room. Ranges are split where needed.
 *
 * @param getKeyLoads measured requests a second of the keys of a range that had any, in order
 * @param mayMove whether a range may be moved now
 * @param lasting load of each server over a longer time; without it servers are only relieved of overload
 */
export function planRebalance(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: GetKeyLoads,
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
    lasting?: LastingLoad,
): RebalancePlan {
    const usages = createUsages(map, servers, getKeyLoads, mayMove, settings, lasting);
    if (usages.length === 0) {
        return { changes: [], hotMoves: 0, hotKeys: 0, overloaded: 0, uneven: 0 };
    }
    const hotLoad = settings.hotShare * getMedian(usages.map(({ capacity }) => capacity));
    const changes: RangeChange[] = [];
    const hotKeys = placeHotKeys(map, usages, getKeyLoads, mayMove, hotLoad, settings, changes);
    const hotMoves = changes.length;
    const shared = usages.filter(({ isReserved }) => !isReserved);
    const mean = sum(shared.map(({ load }) => load))
        / Math.max(1, sum(shared.map(({ capacity }) => capacity)));
    const limit = mean * (1 + settings.tolerance);
    const overloaded = usages.filter(usage => isOverloaded(usage, limit, settings));
    const uneven = usages.filter(usage => !overloaded.includes(usage) && isUneven(usage, limit, lasting));
    let splits = settings.rangeLimit - map.ranges.length;
    const relieve = (givers: readonly ServerUsage[], moveLimit: number) => {
        for (const giver of [...givers].sort((one, other) => getUtilization(other) - getUtilization(one))) {
            const share = splits > 0 ? giver.capacity * settings.splitShare : Infinity;
            giver.runs = giver.ranges.map(({ loads, range }) => splitRange(range, loads, share, hotLoad));
            const before = changes.length;
            moveExcess(giver, usages, mean * (1 + settings.tolerance / 2), moveLimit, changes);
            // A move from the middle of a range makes three of it.
            splits -= 2 * (changes.length - before);
        }
    };
    relieve(overloaded, settings.urgentMoveLimit);
    relieve(uneven, settings.moveLimit);
    return { changes, hotMoves, hotKeys, overloaded: overloaded.length, uneven: uneven.length };
}

/** Reserves a server for each hot key, and moves the key there unless its owner is about as fast. Returns the number of hot keys. */
function placeHotKeys(
    map: KeyMap,
    usages: readonly ServerUsage[],
    getKeyLoads: GetKeyLoads,
    mayMove: (range: KeyRange) => boolean,
    hotLoad: number,
    settings: RebalanceSettings,
    changes: RangeChange[],
): number {
    const byName = new Map(usages.map(usage => [getHolderName(usage.holder), usage]));
    const hot = map.ranges.flatMap(range => {
        const loads = getKeyLoads(range);
        return loads.some(([, load]) => load > hotLoad)
            ? splitRange(range, loads, hotLoad, hotLoad).filter(({ isHot }) => isHot).map(part => ({
                range,
                part,
            }))
            : [];
    }).sort((one, other) => other.part.load - one.part.load);
    for (const { part, range } of hot.slice(0, Math.floor(usages.length * MAX_RESERVED_SHARE))) {
        const owner = byName.get(getHolderName(range.owner));
        const free = usages.filter(({ isReserved }) => !isReserved);
        const fastest = free.reduce((one, other) => other.capacity > one.capacity ? other : one);
        const isFastEnough = owner !== undefined && !owner.isReserved
            && (owner.capacity >= settings.stayShare * fastest.capacity
                || part.load <= owner.comfortable * owner.capacity);
        const isMoved = !isFastEnough && mayMove(range);
        const next = isMoved ? fastest : owner;
        if (next) {
            next.isReserved = true;
        }
        if (isMoved) {
            changes.push({ first: part.first, last: part.last, owner: fastest.holder });
            fastest.load += part.load;
            if (owner) {
                owner.load -= part.load;
                removePart(owner, range, part);
            }
        }
    }
    return hot.length;
}

/** Moves load that a server has beyond its target to the servers with the most room. */
function moveExcess(
    giver: ServerUsage,
    usages: readonly ServerUsage[],
    evenUtilization: number,
    moveLimit: number,
    changes: RangeChange[],
): void {
    const getTarget = ({ capacity, comfortable }: ServerUsage) =>
        capacity * Math.max(comfortable, evenUtilization);
    const getRoom = (usage: ServerUsage) => getTarget(usage) - usage.load;
    const receivers = usages.filter(usage => usage !== giver && !usage.isReserved);
    while (changes.length < moveLimit && receivers.length > 0) {
        const excess = giver.isReserved ? getSharedLoad(giver) : -getRoom(giver);
        const to = receivers.reduce((one, other) => getRoom(other) > getRoom(one) ? other : one);
        if (excess < MIN_EXCESS * giver.capacity) {
            return;
        }
        const limit = Math.max(getRoom(to), getUtilization(giver) * (1 - MIN_GAIN) * to.capacity - to.load);
        const part = takeRun(giver, getRoom(to), excess) ?? takeRun(giver, limit, 0);
        if (!part) {
            return;
        }
        giver.load -= part.load;
        to.load += part.load;
        changes.push({ first: part.first, last: part.last, owner: to.holder });
    }
}

function createUsages(
    map: KeyMap,
    servers: readonly ServerCapacity[],
    getKeyLoads: GetKeyLoads,
    mayMove: (range: KeyRange) => boolean,
    settings: RebalanceSettings,
    lasting: LastingLoad | undefined,
): readonly ServerUsage[] {
    const thresholds = new Map<number, Pick<ServerUsage, "comfortable" | "felt" | "overloaded">>();
    const getThresholds = (slots: number) => {
        const known = thresholds.get(slots) ?? {
            comfortable: getUtilizationForWait(slots, settings.comfortableWait),
            felt: getUtilizationForWait(slots, settings.feltWait),
            overloaded: getUtilizationForWait(slots, settings.overloadedWait),
        };
        thresholds.set(slots, known);
        return known;
    };
    const usages = new Map(servers.map(({ capacity, holder, slots }): [string, ServerUsage] => {
        const name = getHolderName(holder);
        const lastingLoad = lasting?.loads.get(name) ?? 0;
        const usage = { holder, capacity, load: 0, lastingLoad, isReserved: false, ranges: [], runs: [] };
        return [name, { ...usage, ...getThresholds(slots) }];
    }));
    for (const range of map.ranges) {
        const usage = usages.get(getHolderName(range.owner));
        const loads = getKeyLoads(range);
        if (usage && loads.length > 0) {
            usage.load += sum(loads.map(([, load]) => load));
            if (mayMove(range)) {
                usage.ranges.push({ range, loads });
            }
        }
    }
    return [...usages.values()];
}

/** Removes a part of a range of a server; what is left of the range may still be moved. */
function removePart(usage: ServerUsage, range: KeyRange, part: RangePart): void {
    const position = usage.ranges.findIndex(({ range: { first } }) => first === range.first);
    const [whole] = position < 0 ? [] : usage.ranges.splice(position, 1);
    const left = [
        { first: range.first, last: part.first - 1 },
        { first: part.last + 1, last: range.last },
    ];
    for (const { first, last } of left) {
        const loads = whole?.loads.filter(([key]) => key >= first && key <= last) ?? [];
        if (loads.length > 0) {
            usage.ranges.push({ range: { first, last }, loads });
        }
    }
}

function isOverloaded(usage: ServerUsage, limit: number, { loadLifeS }: RebalanceSettings): boolean {
    const { capacity, comfortable, load, overloaded } = usage;
    return usage.isReserved
        ? load > comfortable * capacity
        : getLowLoad(load, loadLifeS, RECENT_DEVIATIONS) > Math.max(overloaded, limit) * capacity;
}

function isUneven(usage: ServerUsage, limit: number, lasting: LastingLoad | undefined): boolean {
    const threshold = Math.max(usage.felt, limit) * usage.capacity;
    return lasting !== undefined && !usage.isReserved && usage.load > threshold
        && getLowLoad(usage.lastingLoad, lasting.lifeS, LASTING_DEVIATIONS) > threshold;
}

/** Returns a load less the noise of counting requests. */
function getLowLoad(load: number, lifeS: number, deviations: number): number {
    return load - deviations * Math.sqrt(load / (2 * lifeS));
}

/** Returns the load of the parts of a server that can be moved off it. */
function getSharedLoad({ runs }: ServerUsage): number {
    return sum(runs.flat().filter(({ isHot }) => !isHot).map(({ load }) => load));
}

function getUtilization({ capacity, load }: ServerUsage): number {
    return load / capacity;
}

function getMedian(values: readonly number[]): number {
    return [...values].sort((one, other) => one - other)[values.length >> 1]!;
}

function sum(values: readonly number[]): number {
    return values.reduce((total, value) => total + value, 0);
}
