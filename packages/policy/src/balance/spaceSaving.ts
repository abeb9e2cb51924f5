type Count = { key: string; weight: number; error: number; };

/**
 * Finds the heaviest keys of a stream in bounded memory (Space-Saving algorithm): a new key replaces the lightest one
 * and inherits its weight as its error bound. A key whose true weight exceeds total / capacity is always present.
 */
export class SpaceSaving {
    private readonly counts = new Map<string, Count>();
    private readonly capacity: number;

    /** @param capacity number of keys that are kept */
    constructor(capacity: number) {
        this.capacity = capacity;
    }

    /** Adds weight to a key. */
    add(key: string, weight: number): void {
        const known = this.counts.get(key);
        if (known) {
            known.weight += weight;
            return;
        }
        if (this.counts.size < this.capacity) {
            this.counts.set(key, { key, weight, error: 0 });
            return;
        }
        const lightest = this.getLightest();
        this.counts.delete(lightest.key);
        this.counts.set(key, { key, weight: lightest.weight + weight, error: lightest.weight });
    }

    /** Multiplies all weights by a factor from 0 to 1. */
    decay(factor: number): void {
        for (const count of this.counts.values()) {
            count.weight *= factor;
            count.error *= factor;
        }
    }

    /** Returns the keys in descending order of weight; the true weight of each is between `weight - error` and `weight`. */
    list(): readonly Readonly<Count>[] {
        return [...this.counts.values()].sort((a, b) => b.weight - a.weight || (a.key < b.key ? -1 : 1));
    }

    private getLightest(): Count {
        let lightest: Count | undefined;
        for (const count of this.counts.values()) {
            lightest = !lightest || count.weight < lightest.weight ? count : lightest;
        }
        return lightest as Count;
    }
}
