import type { Milliseconds } from "@arbutusdoor/common";
import type { RowsOrigin } from "./rowsOrigin.js";
import type { StoreClock } from "./storeClock.js";
import type { WatchedRow } from "./watchedRow.js";

const UNKNOWN_ORIGIN: RowsOrigin = {
    source: "store",
    changedAfter: undefined,
    completeAt: undefined,
    isAfterOutage: false,
};

/** Handles the rows of a change. */
type ChangeListener<Value> = (changed: readonly WatchedRow<Value>[], origin: RowsOrigin) => void;

/**
 * A local copy of one table: the newest version of each row, as of a version of the store. It goes back in time only with the store itself, when
 * this is restored from an older copy and a new era begins.
 */
export class TableView<Value> {
    private rows = new Map<string, WatchedRow<Value>>();
    private version = -1;
    private currentEra = 0;
    /** Keys of the rows that were read in an earlier era; they stay in use until a read of this era replaces them. */
    private outdated = new Set<string>();
    private needsRestoring = false;
    private completeAt: Milliseconds | undefined;
    private readonly storeClock: StoreClock | undefined;
    private readonly listeners = new Set<ChangeListener<Value>>();

    /** @param storeClock clock by which the ages of rows are determined; without one they are unknown */
    constructor(storeClock?: StoreClock) {
        this.storeClock = storeClock;
    }

    /** Version of the store up to which all changes are known; -1 before the first snapshot. */
    get asOf(): number {
        return this.version;
    }

    /** Era of the store to which the versions belong. */
    get era(): number {
        return this.currentEra;
    }

    /** Whether the rows are of an earlier era: versions compare with nothing, and a snapshot is needed. */
    get isOutdated(): boolean {
        return this.needsRestoring;
    }

    /** Store time up to which all changes are known; `undefined` before a read stated one. */
    get completeTime(): Milliseconds | undefined {
        return this.completeAt;
    }

    /** The rows that are not absent, including unreadable ones, by key. */
    get present(): ReadonlyMap<string, WatchedRow<Value>> {
        return this.rows;
    }

    /** Returns the longest time since the rows of a change were committed; `undefined` when it is not known. */
    getAge({ changedAfter }: RowsOrigin): Milliseconds | undefined {
        return changedAfter === undefined ? undefined : this.storeClock?.getAge(changedAfter);
    }

    /** Begins a new era of the store: the rows stay in use, but their versions and completeness count for nothing. */
    beginEra(era: number): void {
        if (era > this.currentEra) {
            this.currentEra = era;
            this.outdated = new Set(this.rows.keys());
            this.needsRestoring = this.version >= 0;
            this.completeAt = undefined;
        }
    }

    /** Whether a row is known by its version in this era. */
    isKnown(key: string): boolean {
        return this.rows.has(key) && !this.outdated.has(key);
    }

    /** Applies a snapshot of the table. One older than the view is ignored. */
    applySnapshot(
        rows: readonly WatchedRow<Value>[],
        asOf: number,
        origin: RowsOrigin = UNKNOWN_ORIGIN,
    ): void {
        if (!this.enterEra(origin) || (asOf < this.version && !this.needsRestoring)) {
            return;
        }
        const isRestored = this.needsRestoring;
        const changeOrigin = { ...this.recordOrigin(origin), ...(isRestored && { isRestored }) };
        const before = this.rows;
        const newer = [...before.values()].filter(row => row.version > asOf && !this.outdated.has(row.key));
        const next = new Map([...rows, ...newer].map(row => [row.key, row]));
        const removed = [...before.keys()].filter(key => !next.has(key)).map(
            (key): WatchedRow<Value> => ({ key, version: asOf, content: { kind: "absent" } }),
        );
        const changed = rows.filter(row =>
            next.get(row.key) === row
            && (before.get(row.key)?.version !== row.version || this.outdated.has(row.key))
        );
        const isFirst = this.version < 0;
        this.rows = next;
        this.outdated.clear();
        this.needsRestoring = false;
        this.version = asOf;
        this.notify([...changed, ...removed], changeOrigin, isFirst);
    }

    /** Applies the changes after version `after`. Returns false when earlier changes are missing, or they are of another era. */
    applyChanges(
        after: number,
        rows: readonly WatchedRow<Value>[],
        asOf: number,
        origin: RowsOrigin = UNKNOWN_ORIGIN,
    ): boolean {
        if (!this.enterEra(origin) || this.needsRestoring || after > this.version || this.version < 0) {
            return false;
        }
        const changeOrigin = this.recordOrigin(origin);
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
        this.notify(changed, changeOrigin, false);
        return true;
    }

    /** Applies a single row, which implies nothing about other rows. One older than the known row, or of an earlier era, is ignored. */
    applyRow(row: WatchedRow<Value>, era = 0): void {
        const isCurrent = this.enterEra({ era });
        const known = this.isKnown(row.key) ? this.rows.get(row.key) : undefined;
        if (isCurrent && row.version > (known?.version ?? -1)) {
            this.outdated.delete(row.key);
            this.rows.set(row.key, row);
            this.notify([row], UNKNOWN_ORIGIN, false);
        }
    }

    /** Records that the view contains all changes up to a store time, and up to a version of the store where that is known. */
    recordComplete(completeAt: Milliseconds, asOf = -1): void {
        if (this.version >= 0 && !this.needsRestoring) {
            this.completeAt = Math.max(completeAt, this.completeAt ?? -Infinity);
            this.version = Math.max(this.version, asOf);
        }
    }

    /** Calls the listener with the rows of each change until the returned function is called. */
    onChange(listener: ChangeListener<Value>): () => void {
        this.listeners.add(listener);
        return () => this.listeners.delete(listener);
    }

    /** Begins the era of a read if it is newer. Returns false when it is an earlier one. */
    private enterEra({ era = 0 }: Pick<RowsOrigin, "era">): boolean {
        this.beginEra(era);
        return era === this.currentEra;
    }

    /** Returns the version up to which all changes are known: an absent row last changed at it or before. */
    private getFloor(after: number): number {
        return Math.max(after, this.version);
    }

    /** Records what a read proves. Returns the origin of the rows that it changes: they were not there at an earlier read. */
    private recordOrigin(origin: RowsOrigin): RowsOrigin {
        const { changedAfter, completeAt } = origin;
        const before = this.completeAt;
        if (completeAt !== undefined) {
            this.storeClock?.record(completeAt);
            this.completeAt = Math.max(completeAt, before ?? -Infinity);
        }
        const bounds = [changedAfter, before].filter(time => time !== undefined);
        return {
            ...origin,
            changedAfter: bounds.length > 0 ? Math.max(...bounds) : undefined,
            completeAt: this.completeAt,
        };
    }

    private notify(changed: readonly WatchedRow<Value>[], origin: RowsOrigin, isFirst: boolean): void {
        if (changed.length > 0 || isFirst) {
            this.listeners.forEach(listener => listener(changed, origin));
        }
    }
}
