import type { WatchedRow } from "./watchedRow.js";

/** What is known of one table: the newest version of each row, as of a version of the store. Never goes back. */
export class TableView<Value> {
    private rows = new Map<string, WatchedRow<Value>>();
    private version = -1;
    private readonly listeners = new Set<(changed: readonly WatchedRow<Value>[]) => void>();

    /** Version of the store up to which all changes are known; -1 before the first snapshot. */
    get asOf(): number {
        return this.version;
    }

    /** The rows that are present or unreadable. */
    get present(): ReadonlyMap<string, WatchedRow<Value>> {
        return this.rows;
    }

    /** Takes a whole table in. An older one than what is known changes nothing. */
    applySnapshot(rows: readonly WatchedRow<Value>[], asOf: number): void {
        if (asOf < this.version) {
            return;
        }
        const before = this.rows;
        const newer = [...before.values()].filter(row => row.version > asOf);
        const next = new Map([...rows, ...newer].map(row => [row.key, row]));
        const removed = [...before.keys()].filter(key => !next.has(key)).map(
            (key): WatchedRow<Value> => ({ key, version: asOf, content: { kind: "absent" } }),
        );
        const changed = rows.filter(row =>
            next.get(row.key) === row && before.get(row.key)?.version !== row.version
        );
        const isFirst = this.version < 0;
        this.rows = next;
        this.version = asOf;
        this.notify([...changed, ...removed], isFirst);
    }

    /** Takes changes in that follow version `after`. Returns false when changes before them are missing. */
    applyChanges(after: number, rows: readonly WatchedRow<Value>[], asOf: number): boolean {
        if (after > this.version || this.version < 0) {
            return false;
        }
        const changed = rows.filter(row =>
            row.version > (this.rows.get(row.key)?.version ?? this.getFloor(after))
        );
        for (const row of changed) {
            if (row.content.kind === "absent") {
                this.rows.delete(row.key);
            }
            else {
                this.rows.set(row.key, row);
            }
        }
        this.version = Math.max(this.version, asOf);
        this.notify(changed, false);
        return true;
    }

    /** Takes one row in that came by itself: it says nothing of other rows. An older one than what is known changes nothing. */
    applyRow(row: WatchedRow<Value>): void {
        if (row.version > (this.rows.get(row.key)?.version ?? -1)) {
            this.rows.set(row.key, row);
            this.notify([row], false);
        }
    }

    /** Calls the listener with the rows of each change until the returned function is called. */
    onChange(listener: (changed: readonly WatchedRow<Value>[]) => void): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** An absent row was last changed no later than the version up to which all is known. */
    private getFloor(after: number): number {
        return Math.max(after, this.version);
    }

    private notify(changed: readonly WatchedRow<Value>[], isFirst: boolean): void {
        if (changed.length > 0 || isFirst) {
            this.listeners.forEach(listener => listener(changed));
        }
    }
}
