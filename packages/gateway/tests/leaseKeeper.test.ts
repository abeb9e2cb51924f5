import { type HostId, type HostIncarnation, Logger, ManualClock, RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { CoordinatorLease } from "../src/coordination/coordinatorLease.js";
import { LeaseKeeper } from "../src/coordination/leaseKeeper.js";
import { MemoryRowTable } from "./support/memoryRowTable.js";

/** A clock whose wall time can run ahead, as after a suspension of the machine. */
class SuspendableClock extends ManualClock {
    suspendedMs = 0;

    override wallTime(): number {
        return this.now() + this.suspendedMs;
    }
}

function newKeepers(names: readonly string[]) {
    const clock = new SuspendableClock();
    const table = new MemoryRowTable<CoordinatorLease>(clock);
    const events: string[] = [];
    const keepers = names.map((name, index) =>
        new LeaseKeeper({
            host: name as HostId,
            incarnation: `${name}-1` as HostIncarnation,
            address: `${name}:1`,
            table,
            clock,
            random: new RandomSource(index),
            logger: new Logger(clock, name, "silent"),
            isLooking: () => true,
            isEligible: () => true,
            onTaken: (term, predecessor) =>
                events.push(`${name} takes term ${term} after ${predecessor?.host ?? "none"}`),
            onOther: lease => events.push(`${name} sees ${lease.host}`),
        })
    );
    keepers.forEach(keeper => void keeper.run());
    return { clock, events, keepers, table };
}

/** Lets the clock run in small steps, so that promises settle in between; calls `check` in each. */
async function run(clock: ManualClock, duration: number, check: () => void = () => undefined): Promise<void> {
    for (const end = clock.now() + duration; clock.now() < end;) {
        clock.advance(5);
        for (let turn = 0; turn < 10; turn++) {
            await Promise.resolve();
        }
        check();
    }
}

const countValid = (keepers: readonly LeaseKeeper[]) => keepers.filter(({ isValid }) => isValid).length;

test("one of three hosts takes the lease and keeps it; never two hold it", async () => {
    const { clock, events, keepers } = newKeepers(["a", "b", "c"]);
    let most = 0;
    await run(clock, 10_000, () => {
        most = Math.max(most, countValid(keepers));
    });
    expect(most).toBe(1);
    expect(events.filter(event => event.includes("takes"))).toHaveLength(1);
});

test("a holder that gives the lease up is replaced at once, and is no predecessor to wait for", async () => {
    const { clock, events, keepers } = newKeepers(["a", "b"]);
    await run(clock, 2_000);
    const holder = keepers.find(({ isValid }) => isValid)!;
    void holder.resign();
    await run(clock, 1_000);
    expect(countValid(keepers)).toBe(1);
    expect(events.at(-1)).toMatch(/takes term 2 after none/);
});

test("while the store is down the lease runs out, and its holder takes it up again when nobody else did", async () => {
    const { clock, events, keepers, table } = newKeepers(["a"]);
    await run(clock, 2_000);
    table.isDown = true;
    await run(clock, 3_000);
    expect(countValid(keepers)).toBe(0);
    table.isDown = false;
    await run(clock, 1_000);
    expect(countValid(keepers)).toBe(1);
    expect(events).toEqual(["a takes term 1 after none"]);
});

test("a lost answer to the taking of the lease is read back", async () => {
    const { clock, events, keepers, table } = newKeepers(["a"]);
    table.lostAnswers = 1;
    await run(clock, 1_500);
    expect(countValid(keepers)).toBe(1);
    expect(events).toEqual(["a takes term 1 after none"]);
});

test("a machine that was suspended does not trust its lease", async () => {
    const { clock, keepers } = newKeepers(["a"]);
    await run(clock, 2_000);
    clock.suspendedMs = 4_000;
    expect(countValid(keepers)).toBe(0);
});
