import type { Clock } from "@arbutusdoor/common";
import type { RowsReadOutcome } from "../../src/store/rowsReadOutcome.js";
import { RowTable } from "../../src/store/rowTable.js";
import type { RowWriteOutcome } from "../../src/store/rowWriteOutcome.js";
import type { WatchedRow } from "../../src/store/watchedRow.js";

const ANSWER_MS = 10;

/** An in-memory table with faults that a test sets. */
export class MemoryRowTable<Value> extends RowTable<Value> {
    isDown = false;
    /** Whether writes are refused while reads are answered. */
    isRefusing = false;
    /** Number of writes to come that get no answer and take effect after `lateMs`, if their condition still holds. */
    lateWrites = 0;
    lateMs = 0;
    /** Number of writes to come that take effect although their answer is lost. */
    lostAnswers = 0;
    calls = 0;
    private readonly clock: Clock;
    private readonly rows = new Map<string, WatchedRow<Value>>();
    private version = 0;

    constructor(clock: Clock) {
        super();
        this.clock = clock;
    }

    override async read(): Promise<RowsReadOutcome<Value>> {
        await this.answer();
        return this.isDown
            ? { kind: "unavailable", reason: "down" }
            : {
                kind: "rows",
                rows: [...this.rows.values()],
                asOf: this.version,
                storeTime: this.clock.now(),
            };
    }

    override watch(): Promise<RowsReadOutcome<Value>> {
        return Promise.resolve({ kind: "unavailable", reason: "not used" });
    }

    override async readRow(key: string): ReturnType<RowTable<Value>["readRow"]> {
        await this.answer();
        if (this.isDown) {
            return { kind: "unavailable", reason: "down" };
        }
        const row = this.rows.get(key) ?? { key, version: 0, content: { kind: "absent" } as const };
        return { kind: "row", row, storeTime: this.clock.now() };
    }

    override async write(key: string, expectedVersion: number, value: Value): Promise<RowWriteOutcome> {
        await this.answer();
        if (this.isDown || this.isRefusing) {
            return { kind: "notRun", reason: "down" };
        }
        if (this.lateWrites > 0) {
            this.lateWrites--;
            this.clock.schedule(this.lateMs, () => void this.apply(key, expectedVersion, value));
            return { kind: "unknown", reason: "late" };
        }
        const outcome = this.apply(key, expectedVersion, value);
        if (outcome.kind === "committed" && this.lostAnswers > 0) {
            this.lostAnswers--;
            return { kind: "unknown", reason: "lost" };
        }
        return outcome;
    }

    private apply(key: string, expectedVersion: number, value: Value): RowWriteOutcome {
        if ((this.rows.get(key)?.version ?? 0) !== expectedVersion) {
            return { kind: "conflict" };
        }
        this.version++;
        this.rows.set(key, { key, version: this.version, content: { kind: "value", value } });
        return { kind: "committed", version: this.version, storeTime: this.clock.now() };
    }

    private async answer(): Promise<void> {
        this.calls++;
        await this.clock.sleep(ANSWER_MS);
    }
}
