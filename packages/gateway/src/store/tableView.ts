import type { WatchedRow } from "./watchedRow.js";

/** A local copy of one table: the newest version of each row, as of a version of the store. It never goes back in time. */
export class TableView<Value> {
    private rows = new Map<string, WatchedRow<Value>>();
    private version = -1;
    private readonly listeners = new Set<(changed: readonly WatchedRow<Value>[]) => void>();

    /** Version of the store up to which all changes are known; -1 before the first snapshot. */
    get asOf(): number {
        return this.version;
    }

    /** The rows that are not absent, including unreadable ones, by key. */
    get present(): ReadonlyMap<string, WatchedRow<Value>> {
        return this.rows;
    }

    /** Applies a snapshot of the table. One older than the view is ignored. */
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

    /** Applies the changes after version `after`. Returns false when earlier changes are missing. */
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

    /** Applies a single row, which implies nothing about other rows. One older than the known row is ignored. */
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

    /** Returns the version up to which all changes are known: an absent row last changed at it or before. */
    private getFloor(after: number): number {
        return Math.max(after, this.version);
    }

    private notify(changed: readonly WatchedRow<Value>[], isFirst: boolean): void {
        if (changed.length > 0 || isFirst) {
            this.listeners.forEach(listener => listener(changed));
        }
    }
}
