/** A bounded record of what happened; the oldest entries go first and are counted. */
export class Journal<Entry> {
    private readonly limit: number;
    private entries: Entry[] = [];
    private dropped = 0;

    constructor(limit: number) {
        this.limit = limit;
    }

    /** Adds an entry. */
    add(entry: Entry): void {
        this.entries.push(entry);
        if (this.entries.length > 2 * this.limit) {
            this.trim();
        }
    }

    /** The entries kept and how many were dropped. */
    read(): { readonly entries: readonly Entry[]; readonly dropped: number; } {
        this.trim();
        return { entries: this.entries, dropped: this.dropped };
    }

    private trim(): void {
        const excess = Math.max(0, this.entries.length - this.limit);
        this.dropped += excess;
        this.entries = this.entries.slice(excess);
    }
}
