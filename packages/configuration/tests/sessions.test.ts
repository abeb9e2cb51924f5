import type { OperationId } from "@arbutusdoor/common";
import {
    CONFIGURATION_KEYS,
    type ConfigurationManager,
    createConfigurationVersion,
    getBodyName,
} from "@arbutusdoor/configuration";
import { expect, test } from "vitest";
import { ConfigurationSimulation } from "./configurationSimulation.js";
import { createTestDeclaration } from "./createTestDeclaration.js";

const FIRST = createTestDeclaration(1_000);
const SECOND = createTestDeclaration(2_000);
const THIRD = createTestDeclaration(3_000);

test("of two operators who submit concurrently, one is accepted and the other is refused with the differences", async () => {
    const simulation = new ConfigurationSimulation();
    const north = simulation.createManager("north");
    const south = simulation.createManager("south", { isPoller: true });
    await simulation.submit(north, 0, FIRST, "first");
    await simulation.settle(south.poll());
    await Promise.all([
        simulation.submit(north, 1, SECOND, "from-north"),
        simulation.submit(south, 1, THIRD, "from-south"),
    ]);
    await simulation.settle(south.poll());
    await matchGolden(simulation, "twoOperators");
});

test("after a lost answer the rows are read back before an outcome is returned, whether the write took effect or not", async () => {
    const simulation = new ConfigurationSimulation();
    const manager = simulation.createManager("north");
    simulation.table.writeFaults = ["lostAfter"];
    await simulation.submit(manager, 0, FIRST, "took-effect");
    simulation.table.writeFaults = ["lostBefore", "down", "lostBefore"];
    await simulation.submit(manager, 1, SECOND, "took-no-effect");
    simulation.table.writeFaults = ["late"];
    await simulation.submit(manager, 2, THIRD, "took-effect-late");
    simulation.record(`writes: ${simulation.table.journal.map(({ operationId }) => operationId).join(", ")}`);
    await matchGolden(simulation, "lostAnswers");
});

test("when no read succeeds after a lost answer, the outcome is unknown, and a repeat of the operation finds it", async () => {
    const simulation = new ConfigurationSimulation();
    const manager = simulation.createManager("north");
    const other = simulation.createManager("south");
    await simulation.submit(manager, 0, FIRST, "first");
    simulation.table.writeFaults = ["lostAfter"];
    const submission = simulation.submit(manager, 1, SECOND, "second");
    simulation.clock.schedule(1, () => {
        simulation.table.isDown = true;
        simulation.record("table down");
    });
    await submission;
    simulation.table.isDown = false;
    simulation.record("table up");
    await simulation.submit(other, 1, SECOND, "second");
    await simulation.submit(manager, 1, SECOND, "second");
    await simulation.submit(manager, 2, THIRD, "second");
    simulation.record(`writes: ${simulation.table.journal.map(({ operationId }) => operationId).join(", ")}`);
    await matchGolden(simulation, "unknownThenRepeated");
});

test("an outcome stays unknown when the history no longer reaches back to the lost write", async () => {
    const simulation = new ConfigurationSimulation();
    const north = simulation.createManager("north", { backoffMinMs: 1_000 });
    const south = simulation.createManager("south", { historyLength: 1 });
    simulation.table.writeFaults = ["lostAfter"];
    const lost = north.submit(0, FIRST, "lost" as OperationId);
    await simulation.advance(1);
    await simulation.submit(south, 1, SECOND, "second");
    await simulation.submit(south, 2, THIRD, "third");
    simulation.record(`lost on base 0: ${JSON.stringify(await simulation.settle(lost))}`);
    await matchGolden(simulation, "historyTooShort");
});

test("a submission during an outage of either store is refused as not run and leaves no rows", async () => {
    const simulation = new ConfigurationSimulation();
    const manager = simulation.createManager("north", { attempts: 2 });
    simulation.objects.isDown = true;
    await simulation.submit(manager, 0, FIRST, "no-objects");
    simulation.objects.isDown = false;
    simulation.table.isDown = true;
    await simulation.submit(manager, 0, FIRST, "no-table");
    simulation.record(`writes: ${simulation.table.journal.length}, in force: ${manager.current()?.version}`);
    await matchGolden(simulation, "storeOutage");
});

test("a host that starts during an outage adopts ever newer configurations from its peers, and never an older one", async () => {
    const simulation = new ConfigurationSimulation();
    const host = simulation.createManager("late-host", { isPoller: true });
    simulation.table.isDown = true;
    host.start();
    await simulation.advance(100);
    offer(simulation, host, "stale peer", createConfigurationVersion(4, FIRST));
    offer(simulation, host, "newer peer", createConfigurationVersion(6, THIRD));
    offer(simulation, host, "older peer", createConfigurationVersion(5, SECOND));
    offer(simulation, host, "same peer", createConfigurationVersion(6, THIRD));
    offer(simulation, host, "diverged peer", createConfigurationVersion(6, FIRST));
    offer(simulation, host, "broken peer", { ...createConfigurationVersion(7, FIRST), body: "{}" });
    const garbled = createConfigurationVersion(7, { ...FIRST, tenant: "NOT A NAME" });
    offer(simulation, host, "garbled peer", garbled);
    await simulation.advance(2_500);
    host.stop();
    simulation.record(`in force: ${host.current()?.version}`);
    await matchGolden(simulation, "startInOutage");
});

test("after an old head row is restored, the version in force stays, and the next submission gets a higher version", async () => {
    const simulation = new ConfigurationSimulation();
    const manager = simulation.createManager("north", { isPoller: true });
    await simulation.submit(manager, 0, FIRST, "first");
    const copy = simulation.table.copy();
    await simulation.submit(manager, 1, SECOND, "second");
    await simulation.submit(manager, 2, THIRD, "third");
    simulation.table.restore(copy);
    simulation.record("table restored to version 1");
    manager.start();
    await simulation.advance(3_000);
    manager.stop();
    simulation.record(`in force: ${manager.current()?.version}`);
    await simulation.submit(manager, 1, SECOND, "on-restored");
    await simulation.submit(manager, 3, SECOND, "on-in-force");
    await simulation.settle(manager.poll());
    await matchGolden(simulation, "restoredTable");
});

test("a malformed stored text leaves the version in force unchanged, and a valid text from a peer is adopted", async () => {
    const simulation = new ConfigurationSimulation();
    const writer = simulation.createManager("writer");
    const reader = simulation.createManager("reader", { isPoller: true });
    await simulation.submit(writer, 0, FIRST, "first");
    await simulation.settle(reader.poll());
    await simulation.submit(writer, 1, SECOND, "second");
    const name = getBodyName(createConfigurationVersion(2, SECOND).digest);
    simulation.objects.objects.set(name, new TextEncoder().encode("{\"format\": 1"));
    await simulation.settle(reader.poll());
    await simulation.settle(reader.poll());
    simulation.objects.objects.delete(name);
    await simulation.settle(reader.poll());
    simulation.record(`in force: ${reader.current()?.version}`);
    offer(simulation, reader, "writer", writer.current()!);
    const row = { key: CONFIGURATION_KEYS.head, expectedVersion: 2, value: { version: "x" } };
    await simulation.table.transact({ operationId: "broken" as never, writes: [row] });
    await simulation.settle(reader.poll());
    await simulation.submit(reader, 2, THIRD, "on-broken-head");
    await matchGolden(simulation, "malformedStore");
});

test("submissions beyond the limit of a host are refused as not run", async () => {
    const simulation = new ConfigurationSimulation();
    const manager = simulation.createManager("north", { maxPendingSubmissions: 1 });
    await Promise.all([
        simulation.submit(manager, 0, FIRST, "first"),
        simulation.submit(manager, 0, SECOND, "second"),
    ]);
    await matchGolden(simulation, "tooMany");
});

function offer(
    simulation: ConfigurationSimulation,
    manager: ConfigurationManager,
    peer: string,
    offered: Parameters<ConfigurationManager["offer"]>[0],
): void {
    const result = manager.offer(offered);
    simulation.record(`${peer} offers version ${offered.version}: ${result}`);
}

async function matchGolden(simulation: ConfigurationSimulation, name: string): Promise<void> {
    await expect(simulation.print()).toMatchFileSnapshot(`golden/${name}.txt`);
}
