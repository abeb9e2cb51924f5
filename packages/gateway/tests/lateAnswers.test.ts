import { type HostId, type HostIncarnation, Logger, ManualClock, RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { CoordinatorLease } from "../src/coordination/coordinatorLease.js";
import { LeaseManager } from "../src/coordination/leaseManager.js";
import { createHolder } from "./support/createHolder.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";
import { MemoryRowTable } from "./support/memoryRowTable.js";
import { SchedulerHarness } from "./support/schedulerHarness.js";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const RENEWAL_AUTHORITY_MS = 12_000;

// Guards against two owners of a key: the holder of a lease whose takeover was read back passes no older coordinator on.
test("a takeover whose answer was lost names the same predecessors, also to the next host", async () => {
    const clock = new ManualClock();
    const table = new MemoryRowTable<CoordinatorLease>(clock);
    const run = async (duration: number) => {
        for (const end = clock.now() + duration; clock.now() < end;) {
            clock.advance(5);
            for (let turn = 0; turn < 10; turn++) {
                await Promise.resolve();
            }
        }
    };
    const before = {
        term: 4,
        host: "a" as HostId,
        incarnation: "a-1" as HostIncarnation,
        address: "a:1",
        expiresAt: 2_500,
        predecessors: [],
    };
    const written = table.write("coordinator", 0, before);
    await run(50);
    await written;
    table.lostAnswers = 1;
    const events: string[] = [];
    const start = (name: string) => {
        const keeper = new LeaseManager({
            host: name as HostId,
            incarnation: `${name}-1` as HostIncarnation,
            address: `${name}:1`,
            table,
            clock,
            random: new RandomSource(1),
            logger: new Logger(clock, name, "silent"),
            needsCoordinator: () => true,
            isEligible: () => true,
            renewalAuthorityMs: RENEWAL_AUTHORITY_MS,
            onAcquired: (term, predecessors) =>
                events.push(
                    `${name} takes term ${term} after ${predecessors.map(({ host }) => host).join(" and ")}`,
                ),
            onOtherCoordinator: () => undefined,
        });
        void keeper.run();
        return keeper;
    };
    const second = start("b");
    await run(5_000);
    expect(table.lostAnswers).toBe(0);
    start("c");
    await run(300);
    void second.resign();
    await run(1_000);
    expect(events).toEqual(["b takes term 5 after a", "c takes term 6 after a"]);
});

// Guards against two owners of a key: the late answer to a release under an older fence is no answer to the newest one.
test("an answer to a release under an older fence clears nobody of a later grant", () => {
    const s = createHolder("s");
    const run = new SchedulerHarness({
        term: 1,
        fence: 1,
        ranges: [{ first: 0, last: 9, owner: s, fence: 1, previous: [] }],
    }, false);
    run.run(100);
    const granted = run.findLastGrantTime(0, "s");
    run.move(0, 9, "p");
    run.move(0, 9, "s");
    run.run(20);
    run.move(0, 9, "q");
    const answer = { kind: "done", handover: "h" } as const;
    run.keeper.complete(
        { kind: "release", first: 0, last: 9, fence: 2, holder: s, handover: undefined },
        answer,
        120,
    );
    run.run(run.expiryMs + 1_000);
    expect(run.findGrantTime(0, "q")).toBeGreaterThanOrEqual(granted + run.expiryMs);
});

// Guards against two owners of a key: a predecessor's commit that takes effect after its successor has read the map.
test("a predecessor's write that takes effect after the takeover changes no map", async () => {
    const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    run.startHost("a");
    await run.run(1_000);
    run.startHost("b");
    await run.run(4_000);
    const { maps } = run;
    const write = maps.write.bind(maps);
    let perform: (() => Promise<{ readonly kind: string; }>) | undefined;
    maps.write = (key, version, map) => {
        perform ??= () => write(key, version, map);
        return Promise.resolve({ kind: "unknown", reason: "no answer" });
    };
    run.register("p", undefined);
    await run.run(100);
    expect(perform).toBeDefined();
    run.stopHost("a");
    maps.write = write;
    // The successor has nothing to change itself.
    run.register("p", createRegisteredServer("p"));
    await run.run(1_000);
    expect(run.terms).toEqual(["a 1", "b 2"]);
    const late = perform!();
    await run.run(20_000);
    expect((await late).kind).toBe("conflict");
    expect(run.checker.violations).toEqual([]);
});
