import { type Metrics, SystemClock } from "@arbutusdoor/common";
import { once } from "node:events";
import { connect, type Socket } from "node:net";
import { Readable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import type { CallerPort } from "../src/requests/callerPort.js";
import { HeldBackends } from "./support/heldBackends.js";
import { PathHeaderCodec } from "./support/pathHeaderCodec.js";
import { startCallerPort } from "./support/startCallerPort.js";

const LOOPBACK = "127.0.0.1";
const SETTLE_MS = 50;
const TIMEOUT_MS = 2_000;
/** Longer than any of these tests. */
const STOP_MS = 10_000;
const SHORT_TIMEOUT_MS = 150;
/** More than is read whole before it is passed on. */
const LONG_BYTES = 200_000;

const clock = new SystemClock();
let backends: HeldBackends;
let metrics: Metrics;
let callerPort: CallerPort;
let caller: Socket;
let received: string;
let hasEnded: boolean;

beforeEach(async () => {
    backends = new HeldBackends();
    const started = await startCallerPort({
        clock,
        backends,
        dialect: new PathHeaderCodec(),
        timeoutMs: 5_000,
    });
    ({ callerPort, metrics } = started);
    received = "";
    hasEnded = false;
    caller = connect(started.port, LOOPBACK);
    caller.on("error", () => undefined);
    caller.on("data", data => {
        received += data.toString();
    });
    caller.on("close", () => {
        hasEnded = true;
    });
    await once(caller, "connect");
});

afterEach(async () => {
    caller.destroy();
    await callerPort.close();
});

test("requests sent before the first is answered are routed together and answered in their order, each with its own answer", async () => {
    await send(["/1", "/2", "/3"]);
    expect(backends.sent).toEqual(["/1", "/2", "/3"]);
    backends.answer("/3");
    backends.answer("/2");
    await clock.sleep(SETTLE_MS);
    expect(received).toBe("");
    backends.answer("/1");
    await clock.sleep(SETTLE_MS);
    expect(listBodies()).toEqual(["/1", "/2", "/3"]);
});

test("a caller that sends many requests at once has few routed at a time; none is refused, all are answered", async () => {
    const paths = Array.from({ length: 40 }, (_, index) => `/${index}`);
    await send(paths);
    expect(backends.sent).toEqual(paths.slice(0, 8));
    for (const path of paths) {
        backends.answer(path);
        await clock.sleep(5);
    }
    await clock.sleep(SETTLE_MS);
    expect(listBodies()).toEqual(paths);
    expect(backends.sent).toEqual(paths);
});

test("a planned stop with several requests under way: all of them are answered, and only the last answer closes the connection", async () => {
    await send(["/1", "/2", "/3"]);
    callerPort.announceClose(STOP_MS, STOP_MS);
    ["/2", "/1", "/3"].forEach(path => backends.answer(path));
    await clock.sleep(SETTLE_MS);
    expect(listBodies()).toEqual(["/1", "/2", "/3"]);
    expect(received.match(/connection: close/gi)).toHaveLength(1);
    expect(hasEnded).toBe(true);
});

// Guards against once-only requests that were read and got no answer, since an earlier answer closed their connection (LOST around SIGTERM).
test("a planned stop answers every request that was read, also those that waited behind the ones under way", async () => {
    const paths = Array.from({ length: 12 }, (_, index) => `/${index}`);
    await send(paths);
    callerPort.announceClose(STOP_MS, STOP_MS);
    for (const path of paths) {
        backends.answer(path);
        await clock.sleep(5);
    }
    await clock.sleep(SETTLE_MS);
    expect(backends.sent).toEqual(paths);
    expect(listBodies()).toEqual(paths);
    expect(received.match(/connection: close/gi)).toHaveLength(1);
    expect(hasEnded).toBe(true);
});

// Guards against requests that were read while an answer that closes the connection waited behind another one.
test("a planned stop answers a request that comes while later answers wait for an earlier one", async () => {
    await send(["/1", "/2"]);
    callerPort.announceClose(STOP_MS, STOP_MS);
    backends.answer("/2");
    await clock.sleep(SETTLE_MS);
    await send(["/3"]);
    backends.answer("/1");
    await clock.sleep(SETTLE_MS);
    backends.answer("/3");
    await clock.sleep(SETTLE_MS);
    expect(listBodies()).toEqual(["/1", "/2", "/3"]);
    expect(received.match(/connection: close/gi)).toHaveLength(1);
    expect(hasEnded).toBe(true);
});

test("an answer that breaks off halfway closes the connection, and nothing follows it", async () => {
    await send(["/1", "/2"]);
    backends.answer("/2");
    const broken = new Readable({ read: () => undefined });
    backends.answer("/1", broken, { "content-length": String(LONG_BYTES * 2) });
    broken.push(Buffer.alloc(LONG_BYTES, "a"));
    await clock.sleep(SETTLE_MS);
    broken.destroy(new Error("broke off"));
    await clock.sleep(SETTLE_MS);
    expect(received.split("\r\n\r\n")).toHaveLength(2);
    expect(received.split("\r\n\r\n")[1]!.length).toBeLessThan(LONG_BYTES * 2);
    expect(hasEnded).toBe(true);
});

test("a request whose deadline passes is answered in its turn and does not end those beside it", async () => {
    await send(["/1", "/2"], [TIMEOUT_MS, SHORT_TIMEOUT_MS]);
    await clock.sleep(SHORT_TIMEOUT_MS + SETTLE_MS);
    expect(received).toBe("");
    backends.answer("/1");
    await clock.sleep(SETTLE_MS);
    expect(received.match(/HTTP\/1\.1 \d+/g)).toEqual(["HTTP/1.1 200", "HTTP/1.1 504"]);
});

test("a caller that leaves with several requests under way: all are cancelled, and a stop does not wait for them", async () => {
    await send(["/1", "/2", "/3"]);
    caller.destroy();
    await clock.sleep(SETTLE_MS);
    expect([...backends.cancelled].sort()).toEqual(["/1", "/2", "/3"]);
    expect(metrics.print()).toContain("arbutusdoor_requests_in_flight 0");
});

async function send(paths: readonly string[], timeouts: readonly number[] = []): Promise<void> {
    const texts = paths.map((path, index) =>
        `GET ${path} HTTP/1.1\r\nHost: board.example\r\nX-Id: ${path}\r\n`
        + `X-Timeout: ${timeouts[index] ?? TIMEOUT_MS}\r\n\r\n`
    );
    caller.write(texts.join(""));
    await clock.sleep(SETTLE_MS);
}

/** Returns the bodies of the answers that were received, none of which contains an empty line. */
function listBodies(): readonly string[] {
    return received.split("HTTP/1.1 200 OK").slice(1).map(answer => answer.split("\r\n\r\n")[1]!);
}
