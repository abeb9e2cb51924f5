import {
    type HostId,
    type HostIncarnation,
    type LogEvent,
    Logger,
    ManualClock,
    RandomSource,
} from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { CoordinatorLease } from "../src/coordination/coordinatorLease.js";
import { LeaseManager } from "../src/coordination/leaseManager.js";
import { StoreAvailability } from "../src/store/storeAvailability.js";
import { HostRowTable } from "./support/hostRowTable.js";
import { MemoryRowTable } from "./support/memoryRowTable.js";

/** Longest of the shortest pauses between two probes. */
const SHORT_PAUSE_MS = 400;

function createHost() {
    const clock = new ManualClock();
    const table = new HostRowTable(new MemoryRowTable<CoordinatorLease>(clock));
    const availability = new StoreAvailability(clock, new RandomSource(2));
    const logger = new Logger(clock, "a", "silent");
    const events: LogEvent[] = [];
    logger.onEvent(event => events.push(event));
    const state = { isLinked: false, isEligible: true };
    const manager = new LeaseManager({
        host: "a" as HostId,
        incarnation: "a-1" as HostIncarnation,
        address: "a:1",
        table,
        availability,
        clock,
        random: new RandomSource(1),
        logger,
        needsCoordinator: () => !state.isLinked,
        isEligible: () => state.isEligible,
        claimDelayMs: 0,
        renewalAuthorityMs: 12_000,
        onAcquired: () => undefined,
        onOtherCoordinator: () => undefined,
    });
    void manager.run();
    const count = (event: LogEvent) => events.filter(each => each === event).length;
    return { availability, clock, count, manager, state, table };
}

async function run(clock: ManualClock, duration: number): Promise<void> {
    for (const end = clock.now() + duration; clock.now() < end;) {
        clock.advance(5);
        for (let turn = 0; turn < 10; turn++) {
            await Promise.resolve();
        }
    }
}

/** Returns whether a reader may call the store at once. */
async function mayRead(availability: StoreAvailability): Promise<boolean> {
    let isAllowed = false;
    void availability.waitUntilAvailable().then(() => {
        isAllowed = true;
    });
    await Promise.resolve();
    await Promise.resolve();
    return isAllowed;
}

// Guards against a coordinator whose reads of a table pause for 2 s after one lost call: an outage that its renewals had ended still counted.
test("a renewal that the store answers ends an outage at the coordinator", async () => {
    const { availability, clock, count, manager, table } = createHost();
    await run(clock, 1_000);
    expect(manager.isValid).toBe(true);
    table.isCutOff = true;
    await run(clock, 1_000);
    expect(count("leaseUnavailable")).toBe(1);
    table.isCutOff = false;
    await run(clock, 1_000);
    expect(manager.isValid).toBe(true);
    expect(count("leaseRecovered")).toBe(1);
    expect(await mayRead(availability)).toBe(true);
});

// Guards against probes of the store that are rare from the first one on, and readers that wait for them, long after an earlier outage.
test("a host that gets a link during an outage counts later failures of its polls from the start", async () => {
    const { availability, clock, count, state, table } = createHost();
    state.isEligible = false;
    table.isCutOff = true;
    await run(clock, 5_000);
    state.isLinked = true;
    await run(clock, 10_000);
    expect(await mayRead(availability)).toBe(true);
    state.isLinked = false;
    await run(clock, 200);
    expect(count("leaseUnavailable")).toBe(2);
    expect(availability.probeDelay).toBeLessThan(SHORT_PAUSE_MS);
});
