import {
    HttpHostList,
    HttpObjectStore,
    HttpServerOrders,
    type Order,
    ServerOrdersSettings,
} from "@arbutusdoor/clients";
import { type HostId, type HostIncarnation, type ServerId, SystemClock } from "@arbutusdoor/common";
import { HostListStandIn, ObjectStandIn } from "@arbutusdoor/standins";
import { expect, onTestFinished, test } from "vitest";
import { createAdapterOptions } from "./support/createAdapterOptions.js";
import { ScriptedServer } from "./support/scriptedServer.js";
import { waitUntil } from "./support/waitUntil.js";

const PLACE = { host: "127.0.0.1", port: 0, controlPort: 0 };
const PROBE: Order = {
    server: "s1" as ServerId,
    from: { host: "h1" as HostId, incarnation: "h1-1" as HostIncarnation },
    listVersion: 0,
    epoch: 0,
    take: [],
    fence: [],
};
const REPLY = {
    server: "s1",
    incarnation: "s1-1",
    clock: 5,
    listVersion: 0,
    epoch: 0,
    isAccepted: true,
    reason: null,
    taken: [],
    fenced: [],
    heldCount: 0,
    isLeaving: false,
};

function getAnswer(body: string): string {
    return `HTTP/1.1 200 OK\r\ncontent-length: ${body.length}\r\n\r\n${body}`;
}

test("objects are stored and read; a store that is down or loses its answer gives no false result", async () => {
    const store = new ObjectStandIn({ clock: new SystemClock(), journalLimit: 100, objectLimit: 10 }, PLACE);
    await store.start();
    onTestFinished(() => store.kill());
    const objects = new HttpObjectStore(`http://${store.address}`, createAdapterOptions());
    const bytes = Buffer.from([0, 255, 10]);
    const session: unknown[] = [await objects.get("a/b"), await objects.put("a/b", bytes)];
    await store.setFaults({ answerLostAfterCommit: 1 });
    session.push((await objects.put("c", bytes)).kind, await objects.get("c"));
    await store.setFaults({ down: "unavailable" });
    session.push(await objects.put("d", bytes), await objects.get("a/b"));
    await store.setFaults({ down: "refused" });
    const fresh = new HttpObjectStore(`http://${store.address}`, createAdapterOptions());
    session.push((await fresh.put("d", bytes)).kind, (await fresh.get("a/b")).kind);
    await store.setFaults({});
    session.push(await fresh.get("d"));
    expect(session).toMatchSnapshot();
});

test("an object whose bytes are truncated is unavailable", async () => {
    const server = await ScriptedServer.start(socket =>
        socket.end("HTTP/1.1 200 OK\r\ncontent-length: 9\r\n\r\nshort")
    );
    const objects = new HttpObjectStore(`http://${server.address}`, createAdapterOptions());
    expect(await objects.get("a")).toMatchObject({ kind: "unavailable" });
});

test("a stale host list is read, and a malformed one is unavailable", async () => {
    const { clock } = createAdapterOptions();
    const list = new HostListStandIn({ clock }, PLACE);
    await list.start();
    onTestFinished(() => list.kill());
    const hosts = new HttpHostList(`http://${list.address}`, createAdapterOptions());
    const host = { name: "s1", role: "backendServer", dataCentre: "lima-a", address: "127.0.0.1:1" } as const;
    list.setHosts([{ ...host, state: "live" }]);
    clock.advance(1_000);
    list.setHosts([{ ...host, state: "leaving" }]);
    const session: unknown[] = [await hosts.list()];
    await list.setFaults({ staleMs: 500 });
    session.push(await hosts.list());
    await list.setFaults({ down: "unavailable" });
    session.push(await hosts.list());
    const malformed = await ScriptedServer.start(socket => socket.write(getAnswer("{\"hosts\":[{}]}")));
    session.push(await new HttpHostList(`http://${malformed.address}`, createAdapterOptions()).list());
    expect(session).toMatchSnapshot();
});

test("an order ends with a reply, as refused where nothing listens, or as silent", async () => {
    const { clock } = createAdapterOptions();
    const orders = new HttpServerOrders({ clock, settings: ServerOrdersSettings.parse({}) });
    onTestFinished(() => void orders.close());
    const answers = [
        JSON.stringify(REPLY),
        JSON.stringify({ ...REPLY, server: "s2" }),
        JSON.stringify({ ...REPLY, clock: "late" }),
        "",
    ];
    const server = await ScriptedServer.start((socket, count) => {
        const body = answers[count - 1];
        if (body !== undefined) {
            socket.write(getAnswer(body));
        }
    });
    const outcomes: unknown[] = [];
    for (let count = 0; count < answers.length; count++) {
        outcomes.push(await orders.send(server.address, PROBE, 100));
    }
    const overdue = orders.send(server.address, PROBE, 100);
    await waitUntil(() => server.received.length === answers.length + 1);
    clock.advance(100);
    outcomes.push(await overdue, (await orders.send("127.0.0.1:1", PROBE, 100)).kind);
    expect(outcomes).toMatchSnapshot();
});
