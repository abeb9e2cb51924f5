import type { RowsReadOutcome } from "../../src/store/rowsReadOutcome.js";
import { RowTable } from "../../src/store/rowTable.js";
import type { RowWriteOutcome } from "../../src/store/rowWriteOutcome.js";

/** A table as one host reaches it: a partition can separate this host from it without affecting others. */
export class HostRowTable<Value> extends RowTable<Value> {
    isCutOff = false;
    private readonly table: RowTable<Value>;

    constructor(table: RowTable<Value>) {
        super();
        this.table = table;
    }

    override async read(): Promise<RowsReadOutcome<Value>> {
        return this.isCutOff ? { kind: "unavailable", reason: "cut off" } : this.table.read();
    }

    override watch(): Promise<RowsReadOutcome<Value>> {
        return Promise.resolve({ kind: "unavailable", reason: "not used" });
    }

    override async readRow(key: string): ReturnType<RowTable<Value>["readRow"]> {
        return this.isCutOff ? { kind: "unavailable", reason: "cut off" } : this.table.readRow(key);
    }

    override async write(key: string, expectedVersion: number, value: Value): Promise<RowWriteOutcome> {
        return this.isCutOff
            ? { kind: "notRun", reason: "cut off" }
            : this.table.write(key, expectedVersion, value);
    }
}
