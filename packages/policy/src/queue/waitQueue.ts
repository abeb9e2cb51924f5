import type { Milliseconds } from "@arbutusdoor/common";
import type { QueueEntry } from "./queueEntry.js";

type Rank = { entries: QueueEntry<unknown>[]; work: Milliseconds; };

/** The waiting entries of a queue by rank, with their expected work. */
export class WaitQueue {
    private readonly ranks = new Map<number, Rank>();
    private count = 0;

    get size(): number {
        return this.count;
    }

    /** Adds an entry behind all others of its rank. */
    add(entry: QueueEntry<unknown>): void {
        const rank = this.ranks.get(entry.rank) ?? { entries: [], work: 0 };
        rank.entries.push(entry);
        rank.work += entry.expected;
        this.ranks.set(entry.rank, rank);
        this.count++;
    }

    /** Removes an entry. Returns whether it was present. */
    remove(entry: QueueEntry<unknown>): boolean {
        const rank = this.ranks.get(entry.rank);
        const index = rank?.entries.indexOf(entry) ?? -1;
        if (!rank || index < 0) {
            return false;
        }
        rank.entries.splice(index, 1);
        rank.work -= entry.expected;
        if (rank.entries.length === 0) {
            this.ranks.delete(entry.rank);
        }
        this.count--;
        return true;
    }

    /** Returns the expected slot time of all entries ahead of a new one of this rank. */
    getWorkAhead(rank: number): Milliseconds {
        let work = 0;
        for (const [other, { work: otherWork }] of this.ranks) {
            work += other >= rank ? otherWork : 0;
        }
        return work;
    }

    /** Returns the entry to refuse first: the newest of the lowest rank. */
    getLeastImportant(): QueueEntry<unknown> | undefined {
        if (this.count === 0) {
            return undefined;
        }
        return this.ranks.get(Math.min(...this.ranks.keys()))?.entries.at(-1);
    }

    /** Returns all entries in no particular order. */
    list(): readonly QueueEntry<unknown>[] {
        return [...this.ranks.values()].flatMap(rank => rank.entries);
    }
}
