import { once } from "node:events";
import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import { type AddressInfo, connect, type Socket } from "node:net";
import { afterEach, beforeEach, expect, test } from "vitest";
import { PortDrain } from "../src/http/portDrain.js";
import { SystemClock } from "../src/time/systemClock.js";

const LOOPBACK = "127.0.0.1";
const SETTLE_MS = 60;
/** Longer than a new connection is given for its first request. */
const OLD_MS = 600;
/** More than the sockets of one connection buffer. */
const LONG_BYTES = 12_000_000;
/** What the kernel takes at once, but a caller who does not read does not. */
const LAST_BYTES = 1_500_000;
/** A second for the head, half a second for the caller to close its side, and some time for a busy machine. */
const HEAD_LIMIT_MS = 2_500;
const HEAD = "GET /work HTTP/1.1\r\nHost: board.example\r\n\r\n";
const KEPT_HEAD = HEAD.replace("/work", "/kept");
const LAST_HEAD = HEAD.replace("/work", "/last");
const LONG_HEAD = HEAD.replace("/work", "/long");
const POST_HEAD = "POST /work HTTP/1.1\r\nHost: board.example\r\nContent-Length: 6\r\n\r\n";

const clock = new SystemClock();
let server: Server;
let drain: PortDrain;
let caller: Socket;
let received: number;
let hasEnded: boolean;
/** Ends the answers to `/work`, each of which ends its connection. */
let answers: (() => void)[];

beforeEach(async () => {
    answers = [];
    received = 0;
    hasEnded = false;
    server = createServer((message, response) => void answer(message, response));
    drain = new PortDrain(server, clock);
    await once(server.listen(0, LOOPBACK), "listening");
    caller = connect((server.address() as AddressInfo).port, LOOPBACK);
    caller.on("error", () => undefined);
    caller.on("close", () => {
        hasEnded = true;
    });
    caller.on("data", data => {
        received += data.length;
    });
    await once(caller, "connect");
    await clock.sleep(SETTLE_MS);
});

afterEach(async () => {
    if (!caller.closed) {
        const closed = once(caller, "close");
        caller.destroy();
        await closed;
    }
    server.close();
});

// Guards against connections that stay usable, and answers that are broken off, when a port closes (LOST around SIGTERM).
test.each([
    ["that was opened long ago and never used", async () => clock.sleep(OLD_MS)],
    ["that is idle after an answer", async () => {
        caller.write(HEAD);
        await clock.sleep(SETTLE_MS);
        answers.pop()!();
        await clock.sleep(SETTLE_MS);
    }],
])("a connection %s closes with the port", async (_, prepare) => {
    await prepare();
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    expect(hasEnded).toBe(true);
    await closed;
    expect(drain.size).toBe(0);
});

test.each([
    ["that was accepted just now", "", HEAD],
    ["on which a head has begun", HEAD.slice(0, 20), HEAD.slice(20)],
    ["on which a body arrives", `${POST_HEAD}abc`, "def"],
    ["that carries a request", HEAD, ""],
])("a connection %s stays until its answer has arrived", async (_, before, after) => {
    caller.write(before);
    await clock.sleep(SETTLE_MS);
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    caller.write(after);
    await clock.sleep(SETTLE_MS);
    expect(hasEnded).toBe(false);
    answers.pop()!();
    await closed;
    await clock.sleep(SETTLE_MS);
    expect([received > 0, hasEnded, drain.size]).toEqual([true, true, 0]);
});

test("an answer that was written and not yet sent out when the port closes arrives whole", async () => {
    caller.pause();
    caller.write(LONG_HEAD);
    await clock.sleep(SETTLE_MS);
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    caller.resume();
    await closed;
    await clock.sleep(SETTLE_MS);
    expect(received).toBeGreaterThan(LONG_BYTES);
});

test("an answer that waits behind one that is not yet sent out arrives, too", async () => {
    caller.pause();
    caller.write(LONG_HEAD + HEAD);
    await clock.sleep(SETTLE_MS);
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    answers.pop()!();
    caller.resume();
    await closed;
    await clock.sleep(SETTLE_MS);
    expect(received).toBeGreaterThan(LONG_BYTES);
    expect(hasEnded).toBe(true);
});

// Guards against answers that the kernel dropped with a reset, since the caller sent more while its connection was being closed.
test.each([
    ["whose answer announces its end", LAST_HEAD, false],
    ["whose answer announces its end, while the port closes", LAST_HEAD, true],
    ["that the port closes when it is idle", KEPT_HEAD, true],
])(
    "the last answer of a connection %s arrives whole, though more comes from a caller who has not read it yet",
    async (_, head, isClosing) => {
        caller.pause();
        caller.write(head);
        await clock.sleep(SETTLE_MS);
        const closed = isClosing ? drain.close() : undefined;
        await clock.sleep(SETTLE_MS);
        caller.write(HEAD);
        await clock.sleep(SETTLE_MS);
        caller.resume();
        await once(caller, "close");
        expect(received).toBeGreaterThan(LAST_BYTES);
        await closed;
        await clock.sleep(SETTLE_MS);
        expect(drain.size).toBe(0);
    },
);

test("a caller who does not close its side after the last answer is disconnected soon", async () => {
    const idle = connect({
        port: (server.address() as AddressInfo).port,
        host: LOOPBACK,
        allowHalfOpen: true,
    });
    idle.on("error", () => undefined);
    idle.resume();
    idle.write(LAST_HEAD);
    await once(idle, "end");
    await clock.sleep(OLD_MS);
    expect(drain.size).toBe(1);
    idle.destroy();
});

// Guards against a first request that had arrived and was reset, since the process had no time to read it before its timers ran.
test("a request that arrives while the process is held up counts, though the time for it is over", async () => {
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    // The caller is in this process, too: its bytes are sent before the process is held up.
    caller.write(HEAD);
    holdUp(OLD_MS);
    await clock.sleep(SETTLE_MS);
    expect(answers).toHaveLength(1);
    answers.pop()!();
    await closed;
    expect(received).toBeGreaterThan(0);
});

test("a head that has begun and is not finished holds the close up for a limited time only", async () => {
    caller.write(HEAD.slice(0, 20));
    await clock.sleep(SETTLE_MS);
    const closed = drain.close().then(() => clock.now());
    const startedAt = clock.now();
    expect(await closed - startedAt).toBeLessThan(HEAD_LIMIT_MS);
});

test("an answer that does not announce the end of its connection is followed by it while the port closes", async () => {
    caller.write(HEAD);
    await clock.sleep(SETTLE_MS);
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    answers.pop()!();
    await clock.sleep(SETTLE_MS);
    expect(hasEnded).toBe(true);
    await closed;
});

test("a connection that was accepted just now and sends nothing is closed soon", async () => {
    const closed = drain.close();
    await clock.sleep(SETTLE_MS);
    expect(hasEnded).toBe(false);
    await closed;
    expect(drain.size).toBe(0);
});

function answer(message: IncomingMessage, response: ServerResponse): void {
    if (message.url === "/long") {
        response.setHeader("content-length", LONG_BYTES);
        response.end(Buffer.alloc(LONG_BYTES, "x"));
        return;
    }
    if (message.url === "/last" || message.url === "/kept") {
        if (message.url === "/last") {
            response.setHeader("connection", "close");
        }
        response.setHeader("content-length", LAST_BYTES);
        response.end(Buffer.alloc(LAST_BYTES, "x"));
        return;
    }
    answers.push(() => response.end("answered"));
}

function holdUp(duration: number): void {
    for (const until = clock.now() + duration; clock.now() < until;) {
        // Nothing else runs meanwhile.
    }
}
