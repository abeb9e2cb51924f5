import {
    type Row,
    type TableOutcome,
    type TableRead,
    TableService,
    type TableTransaction,
} from "@arbutusdoor/clients";
import type { RowKey } from "@arbutusdoor/common";

/** Fault of a transaction: `lost` commits without an answer, `dropped` does neither, `late` commits on `applyLate`. */
type Fault = "none" | "out" | "lost" | "dropped" | "late";

/** An in-memory table service with faults chosen by the test. */
export class MemoryTable extends TableService {
    /** Returns the fault of the next transaction. */
    nextFault: () => Fault = () => "none";
    isReadable: () => boolean = () => true;
    /** Called for each transaction with its result. */
    onTransaction: (transaction: TableTransaction, result: string) => void = () => {};
    readonly rows = new Map<RowKey, Row>();
    private late: TableTransaction[] = [];

    override async read(keys: readonly RowKey[]): Promise<TableRead> {
        return this.isReadable()
            ? { kind: "rows", rows: keys.map(key => this.getRow(key)) }
            : { kind: "unavailable", reason: "out" };
    }

    override async scan(prefix: string): Promise<TableRead> {
        return { kind: "rows", rows: [...this.rows.values()].filter(row => row.key.startsWith(prefix)) };
    }

    override async transact(transaction: TableTransaction): Promise<TableOutcome> {
        const fault = this.nextFault();
        const outcome = this.getOutcome(transaction, fault);
        this.onTransaction(transaction, fault === "none" ? outcome.kind : `${outcome.kind} (${fault})`);
        return outcome;
    }

    /** Applies the late transactions. */
    applyLate(): void {
        this.late.splice(0).forEach(transaction => {
            this.onTransaction(transaction, `late ${this.commit(transaction).kind}`);
        });
    }

    private getOutcome(transaction: TableTransaction, fault: Fault): TableOutcome {
        switch (fault) {
            case "none":
                return this.commit(transaction);
            case "out":
                return { kind: "notRun", reason: "out" };
            case "lost":
                this.commit(transaction);
                break;
            case "late":
                this.late.push(transaction);
                break;
            case "dropped":
                break;
        }
        return { kind: "unknown", reason: "no answer" };
    }

    private commit({ writes }: TableTransaction): TableOutcome {
        const isMatching = writes.every(write => this.getRow(write.key).version === write.expectedVersion);
        if (isMatching) {
            for (const { key, expectedVersion, value } of writes) {
                if (value === undefined) {
                    this.rows.delete(key);
                }
                else {
                    const stored: unknown = JSON.parse(JSON.stringify(value));
                    this.rows.set(key, { key, version: expectedVersion + 1, value: stored });
                }
            }
        }
        const rows = writes.map(write => this.getRow(write.key));
        return { kind: isMatching ? "committed" : "conflict", rows };
    }

    private getRow(key: RowKey): Row {
        return this.rows.get(key) ?? { key, version: 0, value: undefined };
    }
}
