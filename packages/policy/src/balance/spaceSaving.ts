type Count = { key: string; weight: number; error: number; };

/**
 * The heaviest keys of a stream in bounded memory (Space-Saving): a new key takes the place of the lightest one and
 * inherits its weight as a possible error. A key whose true weight exceeds total / capacity is always present.
 */
export class SpaceSaving {
    private readonly counts = new Map<string, Count>();
    private readonly capacity: number;

    /** @param capacity keys kept at a time */
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

    /** The keys by falling weight; the true weight of each lies between `weight - error` and `weight`. */
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
