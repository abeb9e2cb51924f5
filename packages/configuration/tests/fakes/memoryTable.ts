import {
    type Row,
    type TableOutcome,
    type TableRead,
    TableService,
    type TableTransaction,
} from "@arbutusdoor/clients";
import type { RowKey } from "@arbutusdoor/common";

/**
 * Fault of a write: `down` (not run), `lostBefore` (no effect, no answer), `lostAfter` (effect, no answer) or `late` (no
 * answer, and effect at the next write).
 */
type WriteFault = "down" | "lostBefore" | "lostAfter" | "late";

/** An in-memory table service with configurable faults. */
export class MemoryTable extends TableService {
    /** Faults of the next writes, one for each; `undefined` means none. */
    writeFaults: (WriteFault | undefined)[] = [];
    isDown = false;
    /** Transactions that took effect, in order. */
    readonly journal: TableTransaction[] = [];
    private rows = new Map<RowKey, Row>();
    private late: TableTransaction[] = [];

    override async read(keys: readonly RowKey[]): Promise<TableRead> {
        if (this.isDown) {
            return { kind: "unavailable", reason: "down" };
        }
        return { kind: "rows", rows: keys.map(key => this.getRow(key)) };
    }

    override async scan(prefix: string): Promise<TableRead> {
        if (this.isDown) {
            return { kind: "unavailable", reason: "down" };
        }
        const rows = [...this.rows.values()].filter(row => row.key.startsWith(prefix));
        return { kind: "rows", rows: rows.sort((left, right) => left.key < right.key ? -1 : 1) };
    }

    override async transact(transaction: TableTransaction): Promise<TableOutcome> {
        const fault = this.isDown ? "down" : this.writeFaults.shift();
        if (fault === "down") {
            return { kind: "notRun", reason: "down" };
        }
        if (fault === "late") {
            this.late.push(transaction);
        }
        if (fault === "lostBefore" || fault === "late") {
            return { kind: "unknown", reason: "no answer" };
        }
        this.applyLate();
        const outcome = this.apply(transaction);
        return fault === "lostAfter" ? { kind: "unknown", reason: "no answer" } : outcome;
    }

    /** Applies the late writes whose conditions still hold. */
    applyLate(): void {
        for (const transaction of this.late.splice(0)) {
            this.apply(transaction);
        }
    }

    /** Returns a copy of the rows for `restore`. */
    copy(): Map<RowKey, Row> {
        return new Map(this.rows);
    }

    /** Replaces all rows by an earlier copy. */
    restore(copy: Map<RowKey, Row>): void {
        this.rows = new Map(copy);
    }

    private apply({ writes, operationId }: TableTransaction): TableOutcome {
        const rows = writes.map(({ key }) => this.getRow(key));
        if (writes.some(({ expectedVersion }, index) => rows[index]?.version !== expectedVersion)) {
            return { kind: "conflict", rows };
        }
        for (const { key, expectedVersion, value } of writes) {
            this.rows.set(key, { key, version: expectedVersion + 1, value: structuredClone(value) });
        }
        this.journal.push({ operationId, writes });
        return { kind: "committed", rows: writes.map(({ key }) => this.getRow(key)) };
    }

    private getRow(key: RowKey): Row {
        return this.rows.get(key) ?? { key, version: 0, value: undefined };
    }
}
