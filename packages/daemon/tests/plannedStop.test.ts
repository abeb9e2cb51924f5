import {
    type HostIncarnation,
    type LogEvent,
    type LogFields,
    Logger,
    Metrics,
    ShutdownSchedule,
    SystemClock,
} from "@arbutusdoor/common";
import { once } from "node:events";
import { Readable } from "node:stream";
import { afterEach, beforeEach, expect, test } from "vitest";
import { ConnectedCaller } from "../../gateway/tests/support/connectedCaller.js";
import { CallerPort } from "../src/entry/callerPort.js";
import { RequestIds } from "../src/entry/requestIds.js";
import type { Answer } from "../src/serving/answer.js";
import { createDeclaration } from "./helpers/createDeclaration.js";
import { ScriptedRouter } from "./helpers/scriptedRouter.js";

const SETTLE_MS = 60;
/** Longer than a new connection is given for its first request. */
const OLD_MS = 600;
/** Longer than any test. */
const STOP_MS = 60_000;
/** Deadline of the requests of the tests. */
const DEADLINE_MS = 400;
/** More than the sockets of one connection buffer. */
const LONG_BYTES = 12_000_000;

const clock = new SystemClock();
let answers: Map<string, (answer: Answer) => void>;
let router: ScriptedRouter;
let callerPort: CallerPort;
let port: number;
let callers: ConnectedCaller[];
let events: [LogEvent, LogFields][];

beforeEach(async () => {
    answers = new Map();
    callers = [];
    events = [];
    router = new ScriptedRouter(({ path }) =>
        new Promise(resolve => {
            answers.set(path, resolve);
        })
    );
    const logger = new Logger(clock, "test", "silent");
    logger.onEvent((event, fields) => events.push([event, fields]));
    callerPort = new CallerPort({
        clock,
        logger,
        metrics: new Metrics(),
        ids: new RequestIds("entry-1-a" as HostIncarnation),
        router,
        shutdown: new ShutdownSchedule(clock),
        limits: { headerLimitBytes: 2_048, bufferedBodyBytes: 100, inFlightLimit: 100, callerIdleMs: 75_000 },
        getDeclaration: createDeclaration,
    });
    port = await callerPort.listen("127.0.0.1", 0);
});

afterEach(async () => {
    callers.forEach(({ socket }) => socket.destroy());
    await callerPort.close();
});

// Guards against connections that were opened ahead and stayed usable until the process ended under them (LOST around SIGTERM).
test("a connection that was opened ahead and never used is closed with the port", async () => {
    const unused = await call();
    const working = await call();
    working.send(getHead("/permits/1"));
    await clock.sleep(OLD_MS);
    callerPort.announceClose(0, STOP_MS);
    const closed = callerPort.close();
    await clock.sleep(SETTLE_MS);
    expect([unused.hasEnded, working.hasEnded]).toEqual([true, false]);
    answer("/permits/1");
    await closed;
    expect(working.statuses).toEqual(["200"]);
});

// Guards against once-only requests that were read and got no answer, since an earlier answer closed their connection.
test("requests that were sent together before the stop and after it are all answered, and the last answer closes the connection", async () => {
    const caller = await call();
    const paths = Array.from({ length: 12 }, (_, index) => `/permits/${index}`);
    caller.send(paths.slice(0, 6).map(path => getHead(path)).join(""));
    await clock.sleep(SETTLE_MS);
    callerPort.announceClose(STOP_MS, STOP_MS);
    caller.send(paths.slice(6).map(path => getHead(path)).join(""));
    await clock.sleep(SETTLE_MS);
    for (const path of paths) {
        answer(path);
        await clock.sleep(10);
    }
    await clock.sleep(SETTLE_MS);
    expect(caller.statuses).toEqual(paths.map(() => "200"));
    expect([caller.closings, caller.hasEnded]).toEqual([1, true]);
});

// Guards against an answer that the HTTP server broke off when the port closed, since it was written but not yet sent.
test("an answer that a slow caller is still reading when the port closes arrives whole", async () => {
    const slow = await call();
    slow.socket.pause();
    slow.send(getHead("/permits/long"));
    await clock.sleep(SETTLE_MS);
    answer("/permits/long", LONG_BYTES);
    await clock.sleep(SETTLE_MS);
    callerPort.announceClose(0, STOP_MS);
    const closed = callerPort.close();
    await clock.sleep(SETTLE_MS);
    slow.socket.resume();
    await Promise.all([closed, once(slow.socket, "close")]);
    expect(slow.received.split("\r\n\r\n")[1]).toHaveLength(LONG_BYTES);
});

// Guards against a port that counts as drained while a connection can still bring a request.
test("the port counts as closed only once all connections have ended", async () => {
    const caller = await call();
    caller.send(getHead("/permits/late").slice(0, 40));
    await clock.sleep(SETTLE_MS);
    callerPort.announceClose(0, STOP_MS);
    let hasClosed = false;
    const closed = callerPort.close().then(() => {
        hasClosed = true;
    });
    await clock.sleep(SETTLE_MS);
    expect(hasClosed).toBe(false);
    caller.send(getHead("/permits/late").slice(40));
    await clock.sleep(SETTLE_MS);
    answer("/permits/late");
    await closed;
    await clock.sleep(SETTLE_MS);
    expect([caller.statuses, caller.closings]).toEqual([["200"], 1]);
});

// Guards against requests that were passed on just before the process ended, and cut off (LOST around SIGTERM).
test.each([
    ["a request", ""],
    ["once-only work", "Idempotency-Key: work-1\r\n"],
])("%s whose head ends too late to be served is refused as not run", async (_, headers) => {
    const head = getHead("/permits/late", headers);
    const late = await call();
    late.send(head.slice(0, 40));
    await clock.sleep(SETTLE_MS);
    callerPort.announceClose(SETTLE_MS, DEADLINE_MS);
    await clock.sleep(2 * SETTLE_MS);
    late.send(head.slice(40));
    await clock.sleep(SETTLE_MS);
    expect(router.requests).toEqual([]);
    expect([late.statuses, late.closings]).toEqual([["503"], 1]);
    expect(late.received).toMatch(/arbutusdoor-outcome: not-run\r\narbutusdoor-reason: stopping/i);
    expect(late.received).toMatch(/retry-after: 1\r\n/i);
});

test("requests that the end of the process cuts off are named in the log", async () => {
    const caller = await call();
    caller.send(getHead("/permits/work"));
    await clock.sleep(SETTLE_MS);
    callerPort.logCutOff();
    expect(events).toEqual([
        ["requestCutOff", { request: "entry-1-a.1", stage: "routed", ageMs: expect.any(Number) }],
    ]);
});

async function call(): Promise<ConnectedCaller> {
    const caller = new ConnectedCaller(port);
    callers.push(caller);
    await clock.sleep(SETTLE_MS);
    return caller;
}

function answer(path: string, bodyBytes = 10): void {
    answers.get(path)?.({
        kind: "answered",
        status: 200,
        headers: { "content-length": String(bodyBytes) },
        body: Readable.from([Buffer.alloc(bodyBytes, "x")], { objectMode: false }),
    });
}

function getHead(path: string, headers = ""): string {
    return `POST ${path} HTTP/1.1\r\nHost: permits.example\r\nArbutusdoor-Deadline-Ms: ${DEADLINE_MS}\r\n${headers}`
        + "Content-Length: 0\r\n\r\n";
}
