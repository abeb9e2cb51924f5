import { Logger, ManualClock, RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { RowsOrigin } from "../src/store/rowsOrigin.js";
import { RowSource } from "../src/store/rowSource.js";
import type { RowsReadOutcome } from "../src/store/rowsReadOutcome.js";
import { StoreAvailability } from "../src/store/storeAvailability.js";
import { TableFollower } from "../src/store/tableFollower.js";
import { TableView } from "../src/store/tableView.js";
import type { WatchedRow } from "../src/store/watchedRow.js";

const LATENCY_MS = 5;

/** A store that has dropped its history and whose reads are behind it for a time. */
class CompactedRows extends RowSource<string> {
    calls = 0;
    isStale = true;
    private readonly clock: ManualClock;

    constructor(clock: ManualClock) {
        super();
        this.clock = clock;
    }

    override async read(): Promise<RowsReadOutcome<string>> {
        this.calls++;
        await this.clock.sleep(LATENCY_MS);
        const asOf = this.isStale ? 5 : 12;
        return { kind: "rows", rows: [], asOf, storeTime: this.clock.now() };
    }

    override async watch(after: number): Promise<RowsReadOutcome<string>> {
        this.calls++;
        await this.clock.sleep(after < 10 ? LATENCY_MS : 500);
        return after < 10
            ? { kind: "historyLost" }
            : { kind: "rows", rows: [], asOf: after, storeTime: this.clock.now() };
    }
}

// Guards against hosts that flood a store which has dropped its history with calls until its reads are up to date again.
test("a host calls a store whose reads are behind its history at a limited rate", async () => {
    const clock = new ManualClock();
    const source = new CompactedRows(clock);
    const view = new TableView<string>();
    view.applySnapshot([], 8);
    const logger = new Logger(clock, "host", "silent");
    const availability = new StoreAvailability(clock, new RandomSource(1));
    new TableFollower({ table: "servers", source, view, availability, clock, logger, getWait: () => 500 })
        .start();
    await advance(clock, 3_000);
    expect(source.calls).toBeLessThan(30);
    source.isStale = false;
    await advance(clock, 1_000);
    expect(view.asOf).toBe(12);
});

/** A store that is down for a time, and in which the only row of the table is removed afterwards. */
class RemovedRow extends RowSource<string> {
    isDown = true;
    private readonly clock: ManualClock;

    constructor(clock: ManualClock) {
        super();
        this.clock = clock;
    }

    override read(): Promise<RowsReadOutcome<string>> {
        return this.answer([]);
    }

    override watch(): Promise<RowsReadOutcome<string>> {
        return this.answer([{ key: "a", version: 6, content: { kind: "absent" } }]);
    }

    private async answer(rows: readonly WatchedRow<string>[]): Promise<RowsReadOutcome<string>> {
        await this.clock.sleep(LATENCY_MS);
        return this.isDown
            ? { kind: "unavailable", reason: "down" }
            : { kind: "rows", rows, asOf: 6, storeTime: this.clock.now() };
    }
}

// Guards against requests to a server that has left: the time of its leave was unknown, as a read long after an outage counted as the first.
test("a follower that was stopped during an outage does not take its later reads for those after the outage", async () => {
    const clock = new ManualClock();
    const source = new RemovedRow(clock);
    const view = new TableView<string>();
    view.applySnapshot([{ key: "a", version: 3, content: { kind: "value", value: "ready" } }], 4);
    const origins: RowsOrigin[] = [];
    view.onChange((_, origin) => origins.push(origin));
    const logger = new Logger(clock, "host", "silent");
    const events: string[] = [];
    logger.onEvent(event => events.push(event));
    const availability = new StoreAvailability(clock, new RandomSource(1));
    const parts = { table: "servers", source, view, availability, clock, logger, getWait: () => 500 };
    const follower = new TableFollower(parts);
    follower.start();
    await advance(clock, 500);
    follower.stop();
    source.isDown = false;
    await advance(clock, 10_000);
    follower.start();
    await advance(clock, 50);
    follower.stop();
    expect(origins.map(({ isAfterOutage }) => isAfterOutage)).toEqual([false]);
    expect(events).toEqual(["tableUnavailable"]);
});

async function advance(clock: ManualClock, duration: number): Promise<void> {
    for (let elapsed = 0; elapsed < duration; elapsed += LATENCY_MS) {
        clock.advance(LATENCY_MS);
        for (let turn = 0; turn < 20; turn++) {
            await Promise.resolve();
        }
    }
}
