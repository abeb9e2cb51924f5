import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { RowSource } from "../../src/store/rowSource.js";
import type { RowsReadOutcome } from "../../src/store/rowsReadOutcome.js";
import type { WatchedRow } from "../../src/store/watchedRow.js";

/** The store's monotonic clock differs from that of the hosts. */
const STORE_OFFSET_MS = 1_000_000;
const POLL_MS = 5;
/** Time beyond its wait after which a watch call without an answer is given up. */
const WATCH_SLACK_MS = 600;

/** An in-memory table as one host reads it: answers are read late, by a delay that the test sets, or do not arrive at all. */
export class ScriptedRows<Value> extends RowSource<Value> {
    /** Whether calls fail at once. */
    isDown = false;
    /** Whether calls get no answer, those that wait for one included. */
    isSilent = false;
    private readonly clock: Clock;
    private readonly getDelay: (answeredAt: Milliseconds) => Milliseconds;
    private readonly rows = new Map<string, WatchedRow<Value>>();
    private version = 1;

    constructor(clock: Clock, getDelay: (answeredAt: Milliseconds) => Milliseconds = () => 0) {
        super();
        this.clock = clock;
        this.getDelay = getDelay;
    }

    /** Writes a row. */
    put(key: string, value: Value): void {
        this.version++;
        this.rows.set(key, { key, version: this.version, content: { kind: "value", value } });
    }

    /** Removes a row. */
    remove(key: string): void {
        this.version++;
        this.rows.set(key, { key, version: this.version, content: { kind: "absent" } });
    }

    override read(): Promise<RowsReadOutcome<Value>> {
        return this.answer([...this.rows.values()].filter(({ content }) => content.kind !== "absent"));
    }

    override async watch(after: number, wait: Milliseconds): Promise<RowsReadOutcome<Value>> {
        const end = this.clock.now() + wait;
        for (;;) {
            if (this.isDown) {
                return { kind: "unavailable", reason: "down" };
            }
            const changed = [...this.rows.values()].filter(({ version }) => version > after);
            if (!this.isSilent && (changed.length > 0 || this.clock.now() >= end)) {
                return await this.answer(changed);
            }
            if (this.clock.now() >= end + WATCH_SLACK_MS) {
                return { kind: "unavailable", reason: "no answer" };
            }
            await this.clock.sleep(POLL_MS);
        }
    }

    private async answer(rows: readonly WatchedRow<Value>[]): Promise<RowsReadOutcome<Value>> {
        const answeredAt = this.clock.now();
        const { version: asOf } = this;
        const delay = this.getDelay(answeredAt);
        if (delay > 0) {
            await this.clock.sleep(delay);
        }
        return { kind: "rows", rows, asOf, storeTime: answeredAt + STORE_OFFSET_MS };
    }
}
