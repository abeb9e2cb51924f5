import type { RowsReadOutcome } from "../../src/store/rowsReadOutcome.js";
import { RowTable } from "../../src/store/rowTable.js";
import type { RowWriteOutcome } from "../../src/store/rowWriteOutcome.js";
import type { HostClock } from "./hostClock.js";

/** A table as one host reaches it: a partition can separate this host from it without affecting others. */
export class HostRowTable<Value> extends RowTable<Value> {
    isCutOff = false;
    private readonly table: RowTable<Value>;
    private readonly hostClock: HostClock | undefined;

    /** @param hostClock clock of the host, which reads no answer while it stands still */
    constructor(table: RowTable<Value>, hostClock?: HostClock) {
        super();
        this.table = table;
        this.hostClock = hostClock;
    }

    override async read(): Promise<RowsReadOutcome<Value>> {
        return this.isCutOff ? { kind: "unavailable", reason: "cut off" } : this.table.read();
    }

    override watch(): Promise<RowsReadOutcome<Value>> {
        return Promise.resolve({ kind: "unavailable", reason: "not used" });
    }

    override async readRow(key: string): ReturnType<RowTable<Value>["readRow"]> {
        if (this.isCutOff) {
            return { kind: "unavailable", reason: "cut off" };
        }
        return this.hostClock
            ? this.receive(this.table.readRow(key), this.hostClock)
            : this.table.readRow(key);
    }

    override async write(key: string, expectedVersion: number, value: Value): Promise<RowWriteOutcome> {
        if (this.isCutOff) {
            return { kind: "notRun", reason: "cut off" };
        }
        const answer = this.table.write(key, expectedVersion, value);
        return this.hostClock ? this.receive(answer, this.hostClock) : answer;
    }

    private async receive<Answer>(answer: Promise<Answer>, hostClock: HostClock): Promise<Answer> {
        const received = await answer;
        if (hostClock.isPaused) {
            await hostClock.resume();
        }
        return received;
    }
}
