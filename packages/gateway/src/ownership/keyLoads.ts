import type { Milliseconds } from "@arbutusdoor/common";
import type { KeyRange } from "../orders/keyRange.js";

const MS_PER_S = 1_000;
const MAX_KEYS = 32_768;
/** Keys with fewer requests a second than this are removed. */
const MIN_LOAD = 0.02;

/** Recent requests a second of each key, as an exponentially decaying count. */
export class KeyLoads {
    private readonly halfLifeMs: Milliseconds;
    private readonly counts = new Map<number, number>();
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
        }
    }

    /** Updates the loads; they do not change until the next call. */
    update(now: Milliseconds): void {
        const factor = 0.5 ** ((now - this.decayedAt) / this.halfLifeMs);
        // A steady rate r adds up to r times the mean lifetime of a decaying count.
        const meanLifeS = this.halfLifeMs / Math.LN2 / MS_PER_S;
        this.decayedAt = now;
        for (const [key, count] of this.counts) {
            const left = count * factor;
            if (left / meanLifeS < MIN_LOAD) {
                this.counts.delete(key);
            }
            else {
                this.counts.set(key, left);
            }
        }
        this.sorted = [...this.counts]
            .map(([key, count]): readonly [number, number] => [key, count / meanLifeS])
            .sort(([one], [other]) => one - other);
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
