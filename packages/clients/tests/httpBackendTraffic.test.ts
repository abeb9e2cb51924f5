import type { ServiceId, SliceId } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { createBackendRequest } from "./support/createBackendRequest.js";
import { createTraffic } from "./support/createTraffic.js";
import { readAnswer } from "./support/readAnswer.js";
import { ScriptedServer } from "./support/scriptedServer.js";
import { waitUntil } from "./support/waitUntil.js";

const HEAD = "HTTP/1.1 200 OK\r\n";
const WHOLE = `${HEAD}content-length: 2\r\n\r\nok`;

test("a request carries the router's own fields, and no hop-by-hop or forged ones", async () => {
    const server = await ScriptedServer.start(socket =>
        socket.write(
            `HTTP/1.1 103 Early Hints\r\n\r\n${HEAD}Connection: x-private\r\nX-Private: 1\r\nX-Kept: 2\r\n`
                + "Transfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
        )
    );
    const { traffic } = createTraffic();
    const answer = await traffic.send(createBackendRequest(server.address, {
        headers: {
            "x-kept": "1",
            "connection": "x-private, keep-alive",
            "x-private": "1",
            "te": "trailers",
            "expect": "100-continue",
            "arbutusdoor-slice": "made-up",
        },
        slice: { service: "gustboard" as ServiceId, slice: "0-1f" as SliceId, generation: 7 },
        deadline: 99.9,
    }));
    const sent = server.received[0]!.replace(/^host:.*\r\n/m, "").split("\r\n");
    expect({ sent, answer: await readAnswer(answer) }).toMatchSnapshot();
});

test("a request without a key carries no slice, even if the caller sent one", async () => {
    const server = await ScriptedServer.start(socket => socket.write(WHOLE));
    const headers = { "arbutusdoor-slice": "made-up", "arbutusdoor-generation": "9" };
    await readAnswer(await createTraffic().traffic.send(createBackendRequest(server.address, { headers })));
    expect(server.received[0]).not.toMatch(/slice|generation/);
});

test("a refused connection is not run and leaves the body unread for a retry", async () => {
    const server = await ScriptedServer.start(socket => socket.write(WHOLE));
    const body = Readable.from(["abc"]);
    const { traffic } = createTraffic();
    const dead = await traffic.send(createBackendRequest("127.0.0.1:1", { method: "POST", body }));
    const alive = await traffic.send(createBackendRequest(server.address, { method: "POST", body }));
    await waitUntil(() => server.received.join("").includes("abc"));
    expect([dead, await readAnswer(alive)]).toMatchSnapshot();
});

test("a body that fails after its request has ended is ignored", async () => {
    const body = new Readable({ read: () => undefined });
    const { traffic } = createTraffic();
    const answer = await traffic.send(createBackendRequest("127.0.0.1:1", { method: "POST", body }));
    body.destroy(new Error("stalled"));
    await waitUntil(() => body.closed);
    // Without a listener the error would be an uncaught exception, which fails the run.
    expect([answer.kind, body.errored?.message]).toEqual(["notRun", "stalled"]);
});

test("a request that waits for a connection is not run at its deadline or when cancelled, and is never sent", async () => {
    const server = await ScriptedServer.start(() => undefined);
    const { traffic, clock } = createTraffic(1);
    const first = traffic.send(createBackendRequest(server.address, { path: "/first", deadline: 500 }));
    await waitUntil(() => server.received.length === 1);
    const caller = new AbortController();
    const waiting = traffic.send(createBackendRequest(server.address, { path: "/waiting", deadline: 100 }));
    const left = traffic.send(createBackendRequest(server.address, { path: "/left", signal: caller.signal }));
    caller.abort();
    clock.advance(100);
    const notRun = [await waiting, await left];
    server.sockets[0]!.write(WHOLE);
    const answered = await readAnswer(await first);
    const last = traffic.send(createBackendRequest(server.address, { path: "/last" }));
    await waitUntil(() => server.received.join("").includes("/last"));
    server.sockets.at(-1)!.write(WHOLE);
    expect({ notRun, answered, last: await readAnswer(await last) }).toMatchSnapshot();
    expect(server.received.join("")).not.toMatch(/waiting|left/);
});

test("a request that was sent is unknown at its deadline, when cancelled and when the connection breaks", async () => {
    const server = await ScriptedServer.start(socket =>
        void (server.received.join("").includes("/broken") && socket.destroy())
    );
    const { traffic, clock } = createTraffic();
    const caller = new AbortController();
    const overdue = traffic.send(createBackendRequest(server.address, { path: "/overdue", deadline: 100 }));
    const left = traffic.send(createBackendRequest(server.address, { path: "/left", signal: caller.signal }));
    await waitUntil(() => server.received.length === 2);
    caller.abort();
    clock.advance(100);
    const broken = traffic.send(createBackendRequest(server.address, { path: "/broken", method: "POST" }));
    expect([await overdue, await left, await broken]).toMatchSnapshot();
    expect(server.received.length).toBe(3);
});

test("a server's own refusal is not run; a plain 503 is its answer", async () => {
    const server = await ScriptedServer.start((socket, count) => {
        const field = ["shed", "stale", "leaving", "other", undefined][count - 1];
        const refusal = field ? `arbutusdoor-not-run: ${field}\r\n` : "";
        socket.write(`HTTP/1.1 503 No\r\n${refusal}content-length: 2\r\n\r\nno`);
    });
    const { traffic } = createTraffic();
    const kinds: unknown[] = [];
    for (let count = 0; count < 5; count++) {
        const answer = await traffic.send(createBackendRequest(server.address));
        kinds.push(answer.kind === "notRun" ? answer.cause : answer.kind);
        await readAnswer(answer);
    }
    expect(kinds).toEqual(["shed", "stale", "leaving", "answered", "answered"]);
});

test("a failed request body leaves the request incomplete at the server", async () => {
    const server = await ScriptedServer.start(() => undefined);
    const body = new Readable({ read: () => undefined });
    const sending = createTraffic().traffic.send(createBackendRequest(server.address, {
        method: "POST",
        headers: { "content-length": "10" },
        body,
    }));
    body.push("abc");
    await waitUntil(() => server.received.join("").endsWith("abc"));
    body.destroy(new Error("caller gone"));
    expect(await sending).toMatchObject({ kind: "unknown", cause: "connectionLost" });
    await waitUntil(() => server.sockets[0]!.closed);
});

test("connections are limited, and a new limit applies to new connections", async () => {
    let isHolding = true;
    const server = await ScriptedServer.start(socket => void (isHolding || socket.write(WHOLE)));
    const { traffic } = createTraffic(2);
    const send = (path: string) => traffic.send(createBackendRequest(server.address, { path }));
    const before = ["/a", "/b", "/c"].map(send);
    await waitUntil(() => server.received.length === 2);
    const counted = traffic.countConnections().get(server.address);
    traffic.limitConnections(server.address, 1);
    const after = ["/d", "/e"].map(send);
    await waitUntil(() => server.received.length === 3);
    const isLimited = !server.received.join("").includes("/e");
    isHolding = false;
    server.sockets.forEach(socket => socket.write(WHOLE));
    const kinds = (await Promise.all([...before, ...after])).map(answer => answer.kind);
    expect({ counted, isLimited, kinds }).toMatchSnapshot();
});

test("requests beyond the waiting limit of a server are not run until others have ended", async () => {
    let isHolding = true;
    const server = await ScriptedServer.start(socket => void (isHolding || socket.write(WHOLE)));
    const { traffic } = createTraffic(1, 2);
    const send = () => traffic.send(createBackendRequest(server.address));
    const held = [send(), send()];
    const beyond = await send();
    await waitUntil(() => server.received.length === 1);
    isHolding = false;
    server.sockets[0]!.write(WHOLE);
    const answers = await Promise.all(held.map(async sending => readAnswer(await sending)));
    const after = await send();
    expect([beyond.kind, answers.length, after.kind]).toEqual(["notRun", 2, "answered"]);
});
