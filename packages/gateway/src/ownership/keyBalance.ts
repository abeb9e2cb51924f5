import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "../orders/keyRange.js";
import { getServerLoads } from "./getServerLoads.js";
import { KeyLoads } from "./keyLoads.js";
import type { KeyMap } from "./keyMap.js";
import { LASTING_HALF_LIFE_MS } from "./lastingHalfLifeMs.js";
import { LastingLoads } from "./lastingLoads.js";
import { LOAD_HALF_LIFE_MS } from "./loadHalfLifeMs.js";
import { planRebalance } from "./planRebalance.js";
import type { RangeChange } from "./rangeChange.js";
import type { RebalancePlan } from "./rebalancePlan.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import type { ServerCapacity } from "./serverCapacity.js";

/** Ranges that were moved for balance stay at least this long: their load is known only then, and each move costs refusals. */
const SETTLED_MS = 1_200;
/**
 * A hot key stays with the server that it was given for longer than the bursts that were seen (5 s). Its queue makes that server look slow at
 * first, and the key would move on to the next fastest.
 */
const HOT_SETTLED_MS = 10_000;
/** A range whose load has grown by this factor since it was moved may be moved again: a burst has started. */
const GROWTH = 3;
/** Servers that have been used unevenly for some time are relieved together, in one commit. */
const UNEVEN_INTERVAL_MS = 2_000;

/** Measures the load of one service's keys and plans moves for its balance. */
export class KeyBalance {
    private readonly settings: RebalanceSettings;
    private readonly loads: KeyLoads;
    private readonly lastingLoads: LastingLoads;
    private nextUnevenAt: Milliseconds = -Infinity;
    /** Ranges that were moved for balance recently, by first key: until when they stay, and the load beyond which they move earlier. */
    private readonly moved = new Map<
        number,
        { readonly until: Milliseconds; readonly maxLoad: number; }
    >();

    constructor(settings: RebalanceSettings, now: Milliseconds) {
        this.settings = settings;
        this.loads = new KeyLoads(LOAD_HALF_LIFE_MS, now);
        this.lastingLoads = new LastingLoads(LASTING_HALF_LIFE_MS, now);
    }

    /** Counts requests for a key. */
    recordLoad(key: number, requests: number): void {
        this.loads.add(key, requests);
    }

    /** Updates the loads; they do not change until the next call. */
    update(now: Milliseconds): void {
        this.loads.update(now);
    }

    /** Returns the requests a second of a range. */
    getLoad(range: KeyRange): number {
        return this.loads.getLoad(range);
    }

    /**
     * Records that moves for balance were committed.
     *
     * @param hotMoves number of the first changes that move a hot key
     */
    recordCommit(changes: readonly RangeChange[], hotMoves: number, now: Milliseconds): void {
        changes.forEach((change, index) => {
            const move = index < hotMoves
                ? { until: now + HOT_SETTLED_MS, maxLoad: Infinity }
                : { until: now + SETTLED_MS, maxLoad: GROWTH * this.loads.getLoad(change) };
            this.moved.set(change.first, move);
        });
    }

    /**
     * Plans moves for balance.
     *
     * @param isHeld whether the owner of a range is known to hold it
     */
    plan(
        map: KeyMap,
        servers: readonly ServerCapacity[],
        isHeld: (range: KeyMap["ranges"][number]) => boolean,
        now: Milliseconds,
    ): RebalancePlan {
        for (const [first, { until }] of this.moved) {
            if (now >= until) {
                this.moved.delete(first);
            }
        }
        const loads = new Map(map.ranges.map(range => [range.first, this.loads.list(range)]));
        const getKeyLoads = ({ first }: KeyRange) => loads.get(first) ?? [];
        const getLoad = (range: KeyRange) => getKeyLoads(range).reduce((total, [, load]) => total + load, 0);
        const movable = map.ranges.filter(range => isHeld(range) && this.hasSettled(range));
        const firstKeys = new Set(movable.map(({ first }) => first));
        const lastingLoads = this.lastingLoads.update(getServerLoads(map, getLoad), now);
        const isUnevenDue = now >= this.nextUnevenAt;
        const plan = planRebalance(
            map,
            servers,
            getKeyLoads,
            ({ first }) => firstKeys.has(first),
            this.settings,
            isUnevenDue ? lastingLoads : undefined,
        );
        if (isUnevenDue) {
            this.nextUnevenAt = now + UNEVEN_INTERVAL_MS;
        }
        return plan;
    }

    private hasSettled(range: KeyRange): boolean {
        const move = this.moved.get(range.first);
        return !move || this.loads.getLoad(range) > move.maxLoad;
    }
}
