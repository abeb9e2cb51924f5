import { HttpTableService, type RowWrite, type TableTransaction } from "@arbutusdoor/clients";
import { type OperationId, type RowKey, SystemClock } from "@arbutusdoor/common";
import { TableStandIn } from "@arbutusdoor/standins";
import { expect, onTestFinished, test, vi } from "vitest";
import { createAdapterOptions } from "./support/createAdapterOptions.js";
import { ScriptedServer } from "./support/scriptedServer.js";
import { waitUntil } from "./support/waitUntil.js";

const PLACE = { host: "127.0.0.1", port: 0, controlPort: 0 };

async function startTable(): Promise<TableStandIn> {
    const table = new TableStandIn({ clock: new SystemClock(), journalLimit: 100, rowLimit: 100 }, PLACE);
    await table.start();
    onTestFinished(() => table.kill());
    return table;
}

function createService(
    address: string,
    limits = {},
): HttpTableService & { options: ReturnType<typeof createAdapterOptions>; } {
    const options = createAdapterOptions(limits);
    const both = { ...options, readLimits: options.limits, writeLimits: options.limits };
    const service = new HttpTableService(`http://${address}`, both);
    onTestFinished(() => void service.close());
    return Object.assign(service, { options });
}

function write(key: string, expectedVersion: number, value?: unknown): RowWrite {
    return { key: key as RowKey, expectedVersion, value };
}

function createTransaction(...writes: RowWrite[]): TableTransaction {
    return { operationId: "o1" as OperationId, writes };
}

function keys(...names: string[]): RowKey[] {
    return names as RowKey[];
}

test("rows are written atomically, read, scanned and deleted", async () => {
    const service = createService((await startTable()).address);
    const session = [
        await service.transact(
            createTransaction(write("a/1", 0, { x: 1, gone: null }), write("a/2", 0, "two")),
        ),
        await service.transact(createTransaction(write("a/1", 1, "new"), write("a/2", 0, "new"))),
        await service.transact(createTransaction(write("a/2", 1))),
        await service.read(keys("a/1", "a/2")),
        await service.scan("a/"),
    ];
    expect(session).toMatchSnapshot();
});

test("a service that is down runs nothing", async () => {
    const table = await startTable();
    const outcomes: unknown[] = [];
    for (const down of ["unavailable", "refused"] as const) {
        await table.setFaults({ down });
        const service = createService(table.address);
        outcomes.push((await service.transact(createTransaction(write("a", 0, 1)))).kind);
        outcomes.push((await service.read(keys("a"))).kind, (await service.scan("a")).kind);
    }
    await table.setFaults({});
    expect(outcomes).toEqual([
        "notRun",
        "unavailable",
        "unavailable",
        "notRun",
        "unavailable",
        "unavailable",
    ]);
    expect(table.readJournal()).toMatchObject({ entries: [] });
});

test("an answer lost after the commit is unknown, and reading back shows the write", async () => {
    const table = await startTable();
    const service = createService(table.address);
    await table.setFaults({ answerLostAfterCommit: 1 });
    const lost = await service.transact(createTransaction(write("a", 0, { by: "o1" })));
    expect([lost.kind, await service.read(keys("a"))]).toMatchSnapshot();
});

test("a late answer is unknown, and the write may still take effect", async () => {
    const table = await startTable();
    const service = createService(table.address, { timeoutMs: 300 });
    await service.read(keys("a"));
    await table.setFaults({ isFrozen: true });
    const held = service.transact(createTransaction(write("a", 0, 1)));
    await waitUntil(() => table.heldCount === 1);
    service.options.clock.advance(300);
    const late = await held;
    await table.setFaults({});
    const after = await service.read(keys("a"));
    expect([late.kind, after]).toMatchSnapshot();
});

test("calls beyond the waiting limit, and those that wait too long, are not run and never sent", async () => {
    const table = await startTable();
    const service = createService(table.address, { timeoutMs: 300, concurrency: 1, waitingLimit: 1 });
    await service.read(keys("a"));
    await table.setFaults({ isFrozen: true });
    const held = service.transact(createTransaction(write("a", 0, "held")));
    await waitUntil(() => table.heldCount === 1);
    const waiting = service.transact(createTransaction(write("b", 0, "waiting")));
    const beyond = await service.transact(createTransaction(write("c", 0, "beyond")));
    service.options.clock.advance(300);
    const outcomes = [await held, await waiting, beyond];
    await table.setFaults({});
    const rows = await service.scan("");
    const overflow = service.options.metrics.getCount("arbutusdoor_platform_overflow_total", {
        system: "table-write",
    });
    expect({ outcomes, rows, overflow }).toMatchSnapshot();
});

test.each([
    ["not JSON", "200 OK", "{"],
    ["of another shape", "200 OK", "{\"rows\": [{\"key\": 1}]}"],
    ["about other rows", "200 OK", "{\"rows\": [{\"key\": \"b\", \"version\": 1}]}"],
    ["about no row", "409 Conflict", "{\"rows\": []}"],
    ["of another status", "500 Broken", "{}"],
])("an answer that is %s is unknown or unavailable", async (...[, status, body]) => {
    const server = await ScriptedServer.start(socket =>
        socket.write(`HTTP/1.1 ${status}\r\ncontent-length: ${body.length}\r\n\r\n${body}`)
    );
    const service = createService(server.address);
    const outcomes = [
        await service.transact(createTransaction(write("a", 0, 1))),
        await service.read(keys("a")),
    ];
    expect(outcomes.map(outcome => outcome.kind)).toEqual(["unknown", "unavailable"]);
});

test("an answer longer than the limit is unknown", async () => {
    const rows = JSON.stringify({ rows: [{ key: "a", version: 1, value: "x".repeat(4_096) }] });
    const server = await ScriptedServer.start(socket =>
        socket.write(`HTTP/1.1 200 OK\r\ncontent-length: ${rows.length}\r\n\r\n${rows}`)
    );
    const service = createService(server.address, { answerLimitBytes: 1_024 });
    expect(await service.transact(createTransaction(write("a", 0, 1)))).toMatchObject({ kind: "unknown" });
});

test("calls per second are limited, separately for reads and writes", async () => {
    vi.useFakeTimers({ toFake: ["Date", "performance", "setInterval", "setTimeout"] });
    onTestFinished(() => void vi.useRealTimers());
    const server = await ScriptedServer.start(() => undefined);
    const service = createService(server.address, { requestsPerSecond: 2 });
    const calls = ["a", "b", "c"].map(key => service.read(keys(key)));
    calls.push(service.scan(""));
    const transaction = service.transact(createTransaction(write("a", 0, 1)));
    await waitUntil(() => server.received.length === 3);
    vi.advanceTimersByTime(999);
    await turn(100);
    const early = server.received.length;
    vi.advanceTimersByTime(1);
    await waitUntil(() => server.received.length === 5);
    expect(early).toBe(3);
    service.options.clock.advance(1_000);
    const kinds = (await Promise.all([...calls, transaction])).map(outcome => outcome.kind);
    expect(kinds).toEqual([...calls.map(() => "unavailable"), "unknown"]);
});

async function turn(count: number): Promise<void> {
    for (let turns = 0; turns < count; turns++) {
        await new Promise(resolve => setImmediate(resolve));
    }
}
