import { type LogEvent, type LogFields, type Logger, SystemClock } from "@arbutusdoor/common";
import { once } from "node:events";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import { GracefulShutdown } from "../src/host/gracefulShutdown.js";
import type { CallerPort } from "../src/requests/callerPort.js";
import { ConnectedCaller } from "./support/connectedCaller.js";
import { HeldBackends } from "./support/heldBackends.js";
import { PathHeaderCodec } from "./support/pathHeaderCodec.js";
import { startCallerPort } from "./support/startCallerPort.js";

const SETTLE_MS = 60;
const TIMEOUT_MS = 600;
const LONG_TIMEOUT_MS = 5_000;
const GRACE_MS = 2_400;
/** Leaves 2 s from the closing of the port to the end. */
const LONG_GRACE_MS = 4_800;
/** Half of the grace time. */
const LISTEN_MS = 1_200;
/** Eleven twelfths of the grace time. */
const END_MS = 2_200;
/** The runtime's timers count whole milliseconds, and may fire that much early. */
const TIMER_STEP_MS = 1;
/** Too late for a request with the usual timeout. */
const LATE_MS = 1_900;
/** More than the sockets of one connection buffer. */
const LONG_BYTES = 8_000_000;

const clock = new SystemClock();
let backends: HeldBackends;
let callerPort: CallerPort;
let port: number;
let callers: ConnectedCaller[];
let logger: Logger;
let events: [LogEvent, LogFields][];

beforeEach(async () => {
    backends = new HeldBackends();
    callers = [];
    events = [];
    const started = await startCallerPort({
        clock,
        backends,
        dialect: new PathHeaderCodec(),
        timeoutMs: LONG_TIMEOUT_MS,
        route: { isIdempotent: false, timeoutMs: LONG_TIMEOUT_MS },
    });
    ({ callerPort, logger, port } = started);
    logger.onEvent((event, fields) => events.push([event, fields]));
});

afterEach(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    await callerPort.close();
});

// Guards against requests that were passed on just before the process ended, and cut off (LOST around SIGTERM).
test.each([
    [
        "whose head was begun before the port closed",
        getHead("/late").slice(0, 40),
        getHead("/late").slice(40),
    ],
    ["whose body was begun before the port closed", `${getHead("/late", 6, LONG_TIMEOUT_MS)}abc`, "def"],
])("a request %s and ends too late to be served is refused as not run", async (_, begun, rest) => {
    const late = await call();
    late.send(begun);
    await clock.sleep(SETTLE_MS);
    const stopped = stop();
    await clock.sleep(LATE_MS);
    late.send(rest);
    await clock.sleep(SETTLE_MS);
    expect(backends.sent).toEqual([]);
    expect([late.statuses, late.closings]).toEqual([["503"], 1]);
    expect(late.received).toContain("\"title\":\"stopping\"");
    expect(await stopped).toMatchObject({ cause: "drained" });
});

// Guards against once-only work that a host passed on behind another request when it had no time left for it.
test("a request behind another one that comes too late to be served is refused in its turn", async () => {
    const caller = await call();
    caller.send(getHead("/first", 0, LONG_TIMEOUT_MS));
    await clock.sleep(SETTLE_MS);
    const stopped = stop();
    await clock.sleep(LATE_MS);
    caller.send(getHead("/second"));
    await clock.sleep(SETTLE_MS);
    backends.answer("/first");
    await clock.sleep(SETTLE_MS);
    expect(backends.sent).toEqual(["/first"]);
    expect([caller.statuses, caller.closings]).toEqual([["200", "503"], 1]);
    expect(await stopped).toMatchObject({ cause: "drained" });
});

// Guards against connections that were opened ahead and stayed usable until the process ended under them.
test("a connection that was opened ahead and never used is closed with the port", async () => {
    const unused = await call();
    const working = await call();
    const stopped = stop();
    await clock.sleep(LISTEN_MS - SETTLE_MS);
    working.send(getHead("/work"));
    await clock.sleep(3 * SETTLE_MS);
    expect(unused.hasEnded).toBe(true);
    unused.send(getHead("/late"));
    backends.answer("/work");
    expect(await stopped).toMatchObject({ cause: "drained" });
    expect([backends.sent, working.statuses]).toEqual([["/work"], ["200"]]);
});

// Guards against connections that the port had just accepted and closed before their first request came.
test("a request over a connection that was accepted just before the port closed is served", async () => {
    const stopped = stop();
    await clock.sleep(LISTEN_MS - SETTLE_MS);
    const fresh = await call();
    await clock.sleep(3 * SETTLE_MS);
    fresh.send(getHead("/fresh"));
    await clock.sleep(SETTLE_MS);
    backends.answer("/fresh");
    await clock.sleep(SETTLE_MS);
    expect([fresh.statuses, fresh.closings, fresh.hasEnded]).toEqual([["200"], 1, true]);
    expect(await stopped).toMatchObject({ cause: "drained" });
});

// Guards against requests that came while the host waited for its resignation only, and that it did not wait for.
test("a request that comes while only the resignation is awaited is answered before the shutdown ends", async () => {
    const caller = await call();
    caller.send(getHead("/late").slice(0, 40));
    const resignMs = LISTEN_MS + 200;
    const stopped = stop(() => clock.sleep(resignMs));
    await clock.sleep(resignMs - SETTLE_MS);
    caller.send(getHead("/late").slice(40));
    await clock.sleep(2 * SETTLE_MS);
    let hasStopped = false;
    void stopped.then(() => {
        hasStopped = true;
    });
    await clock.sleep(SETTLE_MS);
    expect(hasStopped).toBe(false);
    backends.answer("/late");
    await stopped;
    expect(caller.statuses).toEqual(["200"]);
});

// Guards against a store that fails a resignation and with it ends the process under its requests.
test("a resignation that fails is logged, and the shutdown goes on", async () => {
    const caller = await call();
    caller.send(getHead("/work"));
    await clock.sleep(SETTLE_MS);
    const stopped = stop(() => Promise.reject(new Error("no store")));
    await clock.sleep(SETTLE_MS);
    backends.answer("/work");
    expect(await stopped).toMatchObject({ cause: "drained" });
    expect(caller.statuses).toEqual(["200"]);
    expect(events.filter(([event]) => event === "resignationFailed")).toHaveLength(1);
});

// Guards against an answer that the HTTP server broke off when the port closed, since it was written but not yet sent.
test("an answer that a slow caller is still reading when the port closes arrives whole", async () => {
    const slow = await call();
    slow.socket.pause();
    slow.send(getHead("/long", 0, LONG_TIMEOUT_MS));
    await clock.sleep(SETTLE_MS);
    backends.answer("/long", "x".repeat(LONG_BYTES), { "content-length": String(LONG_BYTES) });
    const stopped = stop();
    await clock.sleep(LISTEN_MS + SETTLE_MS);
    const closed = once(slow.socket, "close");
    slow.socket.resume();
    await closed;
    expect(await stopped).toMatchObject({ cause: "drained" });
    expect(slow.received.split("\r\n\r\n")[1]).toHaveLength(LONG_BYTES);
});

// Guards against a request that was read behind a long answer whose head had already announced the end of the connection.
test("a request that comes while a long answer is being sent is answered", async () => {
    const caller = await call();
    const body = new Readable({ read: () => undefined });
    caller.send(getHead("/long", 0, LONG_TIMEOUT_MS));
    await clock.sleep(SETTLE_MS);
    const stopped = stop();
    backends.answer("/long", body, { "content-length": String(LONG_BYTES) });
    body.push("x".repeat(LONG_BYTES / 2));
    await clock.sleep(SETTLE_MS);
    caller.send(getHead("/next"));
    await clock.sleep(SETTLE_MS);
    body.push("x".repeat(LONG_BYTES / 2));
    body.push(null);
    backends.answer("/next");
    await clock.sleep(2 * SETTLE_MS);
    expect([caller.statuses, caller.closings, caller.hasEnded]).toEqual([["200", "200"], 1, true]);
    expect(await stopped).toMatchObject({ cause: "drained" });
});

// Guards against a stop that waits until its limit for connections that carry no request.
test.each([
    ["that was refused and whose caller keeps its side open", "no request\r\n\r\n"],
    ["whose caller sent an empty line behind its request", `${getHead("/work")}`],
])("a connection %s does not hold the stop up", async (_, text) => {
    const socket = connect({ port, host: "127.0.0.1", allowHalfOpen: true });
    socket.on("error", () => undefined);
    socket.resume();
    socket.write(text);
    await clock.sleep(SETTLE_MS);
    if (backends.sent.length > 0) {
        backends.answer("/work");
        await clock.sleep(SETTLE_MS);
        socket.write("\r\n");
        await clock.sleep(SETTLE_MS);
    }
    expect(await stop(undefined, LONG_GRACE_MS)).toMatchObject({ cause: "drained" });
    socket.destroy();
});

test("requests that were sent together before the stop and after it are all answered, and the last answer closes the connection", async () => {
    const caller = await call();
    caller.send(getHead("/1") + getHead("/2"));
    await clock.sleep(SETTLE_MS);
    const stopped = stop();
    caller.send(getHead("/3"));
    await clock.sleep(SETTLE_MS);
    ["/1", "/2", "/3"].forEach(path => backends.answer(path));
    await clock.sleep(SETTLE_MS);
    expect([caller.statuses, caller.closings, caller.hasEnded]).toEqual([["200", "200", "200"], 1, true]);
    expect(await stopped).toMatchObject({ cause: "drained" });
});

test("a request whose work outlasts the grace time is cut off at its end and named in the log", async () => {
    const caller = await call();
    caller.send(getHead("/work", 0, LONG_TIMEOUT_MS));
    await clock.sleep(SETTLE_MS);
    const { cause, stopMs } = await stop();
    expect(cause).toBe("timeLimit");
    expect(stopMs).toBeGreaterThanOrEqual(END_MS - TIMER_STEP_MS);
    expect(stopMs).toBeLessThan(GRACE_MS);
    expect(
        events.filter(([event]) => event === "requestCutOff").map((
            [, { request, stage }],
        ) => [request, stage]),
    )
        .toEqual([["/work", "routed"]]);
});

async function call(): Promise<ConnectedCaller> {
    const caller = new ConnectedCaller(port);
    callers.push(caller);
    await clock.sleep(SETTLE_MS);
    return caller;
}

function stop(resign: () => Promise<void> = async () => undefined, graceMs = GRACE_MS): Promise<LogFields> {
    return new GracefulShutdown({ clock, logger, callerPort, resign }).run(graceMs);
}

function getHead(path: string, bodyBytes = 0, timeoutMs = TIMEOUT_MS): string {
    return `POST ${path} HTTP/1.1\r\nHost: board.example\r\nX-Id: ${path}\r\nX-Timeout: ${timeoutMs}\r\n`
        + `Content-Length: ${bodyBytes}\r\n\r\n`;
}
