import type { Milliseconds } from "@arbutusdoor/common";
import { estimateBurst } from "@arbutusdoor/policy";
import type { KeyRange } from "../orders/keyRange.js";
import { KEY_COUNT } from "./keyCount.js";

const MS_PER_S = 1_000;
const MAX_KEYS = 32_768;
/** Keys with fewer requests a second than this are removed. */
const MIN_LOAD = 0.02;
/** Reports arrive every 200 ms; counts over shorter times prove no burst. */
const MIN_INTERVAL_S = 0.2;
/** Neighbouring keys among which a burst is looked for: bursts of 60 to 200 keys were seen, and of single keys. */
const GROUP_KEYS = 128;

/**
 * Recent requests a second of each key, as an exponentially decaying count. It follows small changes slowly, and a burst that is proven by
 * the requests since the last update at once.
 */
export class KeyLoads {
    private readonly halfLifeMs: Milliseconds;
    private readonly counts = new Map<number, number>();
    /** Requests of each key since the last update. */
    private newCounts = new Map<number, number>();
    private sorted: readonly (readonly [number, number])[] = [];
    private decayedAt: Milliseconds;

    constructor(halfLifeMs: Milliseconds, now: Milliseconds) {
        this.halfLifeMs = halfLifeMs;
        this.decayedAt = now;
    }

    /** Counts requests for a key. */
    add(key: number, requests: number): void {
        const known = this.counts.get(key);
        if (known !== undefined || this.counts.size < MAX_KEYS) {
            this.counts.set(key, (known ?? 0) + requests);
            this.newCounts.set(key, (this.newCounts.get(key) ?? 0) + requests);
        }
    }

    /** Updates the loads; they do not change until the next call. */
    update(now: Milliseconds): void {
        const intervalMs = now - this.decayedAt;
        const factor = 0.5 ** (intervalMs / this.halfLifeMs);
        // A steady rate r adds up to r times the mean lifetime of a decaying count.
        const meanLifeS = this.halfLifeMs / Math.LN2 / MS_PER_S;
        this.decayedAt = now;
        /** Counts of groups of neighbours at the last update. */
        const known = new Float64Array(Math.ceil(KEY_COUNT / GROUP_KEYS));
        for (const [key, count] of this.counts) {
            // Requests since the last update arrived in the middle of the interval on average.
            const newCount = this.newCounts.get(key) ?? 0;
            known[Math.floor(key / GROUP_KEYS)]! += count - newCount;
            const left = (count - newCount) * factor + newCount * Math.sqrt(factor);
            if (left / meanLifeS < MIN_LOAD) {
                this.counts.delete(key);
            }
            else {
                this.counts.set(key, left);
            }
        }
        if (intervalMs >= MIN_INTERVAL_S * MS_PER_S) {
            this.applyBursts(known, intervalMs / MS_PER_S, meanLifeS);
        }
        this.newCounts = new Map();
        // Typed arrays sort numbers without calls of a comparison function.
        const keys = Uint32Array.from(this.counts.keys()).sort();
        this.sorted = Array.from(keys, key => [key, this.counts.get(key)! / meanLifeS] as const);
    }

    /** Returns the keys of a range that had requests, in order, with their requests a second. */
    list(range: KeyRange): readonly (readonly [key: number, load: number])[] {
        const start = this.findFirst(range.first);
        let end = start;
        while (end < this.sorted.length && this.sorted[end]![0] <= range.last) {
            end++;
        }
        return this.sorted.slice(start, end);
    }

    /** Returns the requests a second of a range. */
    getLoad(range: KeyRange): number {
        return this.list(range).reduce((total, [, load]) => total + load, 0);
    }

    /**
     * Raises the counts of the keys in groups of neighbours whose new requests prove a burst.
     *
     * @param known count of each group at the last update
     */
    private applyBursts(known: Float64Array, intervalS: number, meanLifeS: number): void {
        const groups = new Map<number, [key: number, newCount: number][]>();
        for (const entry of this.newCounts) {
            const id = Math.floor(entry[0] / GROUP_KEYS);
            const group = groups.get(id);
            if (group) {
                group.push(entry);
            }
            else {
                groups.set(id, [entry]);
            }
        }
        for (const [id, entries] of groups) {
            const newCounts = entries.map(([, newCount]) => newCount);
            const rates = estimateBurst(newCounts, (known[id] ?? 0) / meanLifeS, intervalS);
            rates?.forEach((rate, index) => {
                const [key] = entries[index]!;
                this.counts.set(key, Math.max(this.counts.get(key) ?? 0, rate * meanLifeS));
            });
        }
    }

    private findFirst(key: number): number {
        let low = 0;
        let high = this.sorted.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            if (this.sorted[middle]![0] < key) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        return low;
    }
}
