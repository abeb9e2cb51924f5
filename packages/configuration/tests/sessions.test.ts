import type { OperationId } from "@arbutusdoor/common";
import {
    CONFIGURATION_KEYS,
    type ConfigurationManager,
    createConfigurationVersion,
    getBodyName,
} from "@arbutusdoor/configuration";
import { expect, test } from "vitest";
import { createTestDeclaration } from "./createTestDeclaration.js";
import { Session } from "./session.js";

const FIRST = createTestDeclaration(1_000);
const SECOND = createTestDeclaration(2_000);
const THIRD = createTestDeclaration(3_000);

test("of two operators who submit concurrently, one is accepted and the other is refused with the differences", async () => {
    const session = new Session();
    const north = session.createManager("north");
    const south = session.createManager("south", { isPoller: true });
    await session.submit(north, 0, FIRST, "first");
    await session.settle(south.poll());
    await Promise.all([
        session.submit(north, 1, SECOND, "from-north"),
        session.submit(south, 1, THIRD, "from-south"),
    ]);
    await session.settle(south.poll());
    await matchGolden(session, "twoOperators");
});

test("after a lost answer the rows are read back before an outcome is returned, whether the write took effect or not", async () => {
    const session = new Session();
    const manager = session.createManager("north");
    session.table.writeFaults = ["lostAfter"];
    await session.submit(manager, 0, FIRST, "took-effect");
    session.table.writeFaults = ["lostBefore", "down", "lostBefore"];
    await session.submit(manager, 1, SECOND, "took-no-effect");
    session.table.writeFaults = ["late"];
    await session.submit(manager, 2, THIRD, "took-effect-late");
    session.record(`writes: ${session.table.journal.map(({ operationId }) => operationId).join(", ")}`);
    await matchGolden(session, "lostAnswers");
});

test("when no read succeeds after a lost answer, the outcome is unknown, and a repeat of the operation finds it", async () => {
    const session = new Session();
    const manager = session.createManager("north");
    const other = session.createManager("south");
    await session.submit(manager, 0, FIRST, "first");
    session.table.writeFaults = ["lostAfter"];
    const submission = session.submit(manager, 1, SECOND, "second");
    session.clock.schedule(1, () => {
        session.table.isDown = true;
        session.record("table down");
    });
    await submission;
    session.table.isDown = false;
    session.record("table up");
    await session.submit(other, 1, SECOND, "second");
    await session.submit(manager, 1, SECOND, "second");
    await session.submit(manager, 2, THIRD, "second");
    session.record(`writes: ${session.table.journal.map(({ operationId }) => operationId).join(", ")}`);
    await matchGolden(session, "unknownThenRepeated");
});

test("an outcome stays unknown when the history no longer reaches back to the lost write", async () => {
    const session = new Session();
    const north = session.createManager("north", { backoffMinMs: 1_000 });
    const south = session.createManager("south", { historyLength: 1 });
    session.table.writeFaults = ["lostAfter"];
    const lost = north.submit(0, FIRST, "lost" as OperationId);
    await session.advance(1);
    await session.submit(south, 1, SECOND, "second");
    await session.submit(south, 2, THIRD, "third");
    session.record(`lost on base 0: ${JSON.stringify(await session.settle(lost))}`);
    await matchGolden(session, "historyTooShort");
});

test("a submission during an outage of either store is refused as not run and leaves no rows", async () => {
    const session = new Session();
    const manager = session.createManager("north", { attempts: 2 });
    session.objects.isDown = true;
    await session.submit(manager, 0, FIRST, "no-objects");
    session.objects.isDown = false;
    session.table.isDown = true;
    await session.submit(manager, 0, FIRST, "no-table");
    session.record(`writes: ${session.table.journal.length}, in force: ${manager.current()?.version}`);
    await matchGolden(session, "storeOutage");
});

test("a host that starts during an outage adopts ever newer configurations from its peers, and never an older one", async () => {
    const session = new Session();
    const host = session.createManager("late-host", { isPoller: true });
    session.table.isDown = true;
    host.start();
    await session.advance(100);
    offer(session, host, "stale peer", createConfigurationVersion(4, FIRST));
    offer(session, host, "newer peer", createConfigurationVersion(6, THIRD));
    offer(session, host, "older peer", createConfigurationVersion(5, SECOND));
    offer(session, host, "same peer", createConfigurationVersion(6, THIRD));
    offer(session, host, "diverged peer", createConfigurationVersion(6, FIRST));
    offer(session, host, "broken peer", { ...createConfigurationVersion(7, FIRST), body: "{}" });
    const garbled = createConfigurationVersion(7, { ...FIRST, tenant: "NOT A NAME" });
    offer(session, host, "garbled peer", garbled);
    await session.advance(2_500);
    host.stop();
    session.record(`in force: ${host.current()?.version}`);
    await matchGolden(session, "startInOutage");
});

test("after an old head row is restored, the version in force stays, and the next submission gets a higher version", async () => {
    const session = new Session();
    const manager = session.createManager("north", { isPoller: true });
    await session.submit(manager, 0, FIRST, "first");
    const copy = session.table.copy();
    await session.submit(manager, 1, SECOND, "second");
    await session.submit(manager, 2, THIRD, "third");
    session.table.restore(copy);
    session.record("table restored to version 1");
    manager.start();
    await session.advance(3_000);
    manager.stop();
    session.record(`in force: ${manager.current()?.version}`);
    await session.submit(manager, 1, SECOND, "on-restored");
    await session.submit(manager, 3, SECOND, "on-in-force");
    await session.settle(manager.poll());
    await matchGolden(session, "restoredTable");
});

test("a malformed stored text leaves the version in force unchanged, and a valid text from a peer is adopted", async () => {
    const session = new Session();
    const writer = session.createManager("writer");
    const reader = session.createManager("reader", { isPoller: true });
    await session.submit(writer, 0, FIRST, "first");
    await session.settle(reader.poll());
    await session.submit(writer, 1, SECOND, "second");
    const name = getBodyName(createConfigurationVersion(2, SECOND).digest);
    session.objects.objects.set(name, new TextEncoder().encode("{\"format\": 1"));
    await session.settle(reader.poll());
    await session.settle(reader.poll());
    session.objects.objects.delete(name);
    await session.settle(reader.poll());
    session.record(`in force: ${reader.current()?.version}`);
    offer(session, reader, "writer", writer.current()!);
    const row = { key: CONFIGURATION_KEYS.head, expectedVersion: 2, value: { version: "x" } };
    await session.table.transact({ operationId: "broken" as never, writes: [row] });
    await session.settle(reader.poll());
    await session.submit(reader, 2, THIRD, "on-broken-head");
    await matchGolden(session, "malformedStore");
});

test("submissions beyond the limit of a host are refused as not run", async () => {
    const session = new Session();
    const manager = session.createManager("north", { maxPendingSubmissions: 1 });
    await Promise.all([
        session.submit(manager, 0, FIRST, "first"),
        session.submit(manager, 0, SECOND, "second"),
    ]);
    await matchGolden(session, "tooMany");
});

function offer(
    session: Session,
    manager: ConfigurationManager,
    peer: string,
    offered: Parameters<ConfigurationManager["offer"]>[0],
): void {
    const result = manager.offer(offered);
    session.record(`${peer} offers version ${offered.version}: ${result}`);
}

async function matchGolden(session: Session, name: string): Promise<void> {
    await expect(session.print()).toMatchFileSnapshot(`golden/${name}.txt`);
}
