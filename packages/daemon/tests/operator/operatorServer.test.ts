import { Logger, ManualClock, Metrics } from "@arbutusdoor/common";
import { createConfigurationVersion, printDeclaration } from "@arbutusdoor/configuration";
import { once } from "node:events";
import { get, type IncomingMessage } from "node:http";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { afterEach, expect, test, vi } from "vitest";
import { createTestDeclaration } from "../../../configuration/tests/createTestDeclaration.js";
import { LogRecorder } from "../../../configuration/tests/logRecorder.js";
import { ConnectedCaller } from "../../../gateway/tests/support/connectedCaller.js";
import { OperatorServer } from "../../src/operator/operatorServer.js";
import { OperatorSettings } from "../../src/operator/operatorSettings.js";
import { FakeOperatorContext } from "./fakeOperatorContext.js";

const TOKEN = "a-token-of-the-operators";
const EVENT_BYTES = 65_536;
const MAX_EVENTS = 2_000;
const SETTLE_MS = 60;
/** Longer than a new connection is given for its first call. */
const OLD_MS = 600;
/** More than the sockets of one connection buffer. */
const LONG_BYTES = 12_000_000;

const closers: (() => Promise<void>)[] = [];

afterEach(async () => {
    await Promise.all(closers.splice(0).map(close => close()));
});

type Harness = {
    readonly context: FakeOperatorContext;
    readonly metrics: Metrics;
    readonly clock: ManualClock;
    readonly log: string[];
    readonly url: string;
};

async function start(settings: Partial<OperatorSettings> = {}): Promise<Harness> {
    const context = new FakeOperatorContext();
    const clock = new ManualClock();
    const metrics = new Metrics();
    const log: string[] = [];
    const logger: Logger = new LogRecorder(clock, line => log.push(line));
    const server = new OperatorServer({
        context,
        token: TOKEN,
        settings: OperatorSettings.parse({ port: 0, ...settings }),
        clock,
        logger,
        metrics,
    });
    const port = await server.listen();
    closers.push(() => server.close());
    return { context, metrics, clock, log, url: `http://127.0.0.1:${port}` };
}

async function call(
    url: string,
    body?: string | object,
    authorization = `Bearer ${TOKEN}`,
): Promise<string> {
    const answer = await request(url, {
        method: body === undefined ? "GET" : "POST",
        headers: { authorization },
        body: typeof body === "object" ? JSON.stringify(body) : body,
    });
    const type = String(answer.headers["content-type"]).replace("application/", "");
    return `${answer.statusCode} ${type} ${await answer.body.text()}`;
}

test("every call without the right token is refused, logged and not run", async () => {
    const { context, log, url } = await start();
    const lines: string[] = [];
    for (const authorization of ["", "Bearer", "Bearer wrong", `Basic ${TOKEN}`, `Bearer ${TOKEN}x`, TOKEN]) {
        for (const path of ["/v1/status", "/v1/watch", "/v1/nothing"]) {
            lines.push(await call(url + path, undefined, authorization));
        }
        const body = { base: 0, operationId: "o", declaration: createTestDeclaration() };
        lines.push(await call(`${url}/v1/configuration`, body, authorization));
    }
    const refusal = { title: "not authorized", status: 401, detail: "the call needs the operators' token" };
    expect(new Set(lines)).toEqual(new Set([`401 problem+json ${JSON.stringify(refusal)}`]));
    expect(new Set(log)).toEqual(new Set(["operatorRefused address=127.0.0.1"]));
    expect(log).toHaveLength(lines.length);
    expect(context.store.current).toBeUndefined();
    expect(context.watcherCount).toBe(0);
});

test("a token that is too short is rejected", () => {
    const options = { context: new FakeOperatorContext(), clock: new ManualClock(), metrics: new Metrics() };
    const logger = new Logger(options.clock, "test");
    const settings = OperatorSettings.parse({});
    expect(() => new OperatorServer({ ...options, settings, logger, token: "short" })).toThrow(
        "16 characters",
    );
});

test("every call returns its typed outcome, and every refusal is a problem document", async () => {
    const { context, log, url } = await start({ bodyLimitBytes: 8_192 });
    const lines: string[] = [];
    const record = async (path: string, body?: string | object) => {
        const method = body === undefined ? "GET" : "POST";
        lines.push(`${method} ${path}`, `  ${await call(url + path, body)}`);
    };
    const submission = { base: 0, operationId: "first", declaration: createTestDeclaration() };
    await record("/v1/configuration");
    await record("/v1/drain", { server: "board-1", base: 0, operationId: "early" });
    await record("/v1/diff", { declaration: { ...createTestDeclaration(), services: [], servers: [] } });
    await record("/v1/configuration", submission);
    await record("/v1/configuration", submission);
    await record("/v1/configuration", { ...submission, operationId: "second" });
    await record("/v1/configuration", { ...submission, declaration: {}, operationId: "third" });
    await record("/v1/configuration", { base: -1, operationId: "" });
    await record("/v1/configuration", "{");
    await record("/v1/configuration", " ".repeat(8_193));
    await record("/v1/diff", { declaration: createTestDeclaration(5) });
    await record("/v1/diff", { declaration: {} });
    await record("/v1/drain", { server: "board-9", base: 1, operationId: "d" });
    await record("/v1/drain", { server: "board-1", base: 1, operationId: "d" });
    await record("/v1/drain", { server: "board-2", base: 0, operationId: "d" });
    await record("/v1/drain", { server: "board-2", base: 1, operationId: "d" });
    await record("/v1/drain", { server: "board-2", base: 1, operationId: "d" });
    await record("/v1/explain?service=board");
    await record("/v1/explain?service=board&key=beach");
    context.explanation = { kind: "unavailable", reason: "no peer answers" };
    await record("/v1/explain?service=board&key=beach");
    context.explanation = { kind: "pooled", service: "board", servers: ["board-1"], reasons: [] };
    await record("/v1/explain?service=board&key=beach");
    const loss = { kind: "server", server: "board-1", incarnation: "i-1" };
    await record("/v1/attest-lost", { loss, by: "marshal", operationId: "a" });
    await record("/v1/attest-lost", {
        loss: { kind: "server", server: "board-1" },
        by: "m",
        operationId: "a",
    });
    context.attestOutcome = { kind: "unknown", reason: "no answer" };
    await record("/v1/attest-lost", { loss, by: "marshal", operationId: "a" });
    context.onSubmit = async () => ({ kind: "notRun", reason: "the table service is out" });
    await record("/v1/configuration", submission);
    context.onSubmit = () => Promise.reject(new Error("a fault"));
    await record("/v1/configuration", submission);
    await record("/v1/nothing");
    await record("/v1/status");
    lines.push(...log);
    await expect(`${lines.join("\n")}\n`).toMatchFileSnapshot("golden/calls.txt");
});

test("the stored declaration is returned exactly as it was stored", async () => {
    const { context, url } = await start();
    const version = createConfigurationVersion(3, createTestDeclaration());
    context.store.current = version;
    const answer = await call(`${url}/v1/configuration`);
    const { declaration } = JSON.parse(answer.slice(answer.indexOf("{")));
    expect(printDeclaration(declaration)).toBe(version.body);
});

test("watchers get events and heartbeats; a slow one is notified and dropped without affecting the others", async () => {
    const { clock, context, metrics, url } = await start({ watchBufferBytes: 1_024, maxWatchers: 2 });
    const quick = await watch(url);
    const quickText = readAll(quick);
    const slow = await watch(url);
    slow.pause();
    expect(await call(`${url}/v1/watch`)).toContain("503 problem+json");
    clock.advance(5_000);
    let sent = 0;
    const fields = { filler: "x".repeat(EVENT_BYTES) };
    while (context.watcherCount === 2 && sent < MAX_EVENTS) {
        context.emit({ at: sent++, event: "moveBegun", fields });
        await new Promise(resolve => setTimeout(resolve, 1));
    }
    const slowLines = (await readAll(slow)).trim().split("\n");
    expect(JSON.parse(slowLines.at(-1)!).event).toBe("watcherTooSlow");
    expect(metrics.getCount("arbutusdoor_operator_watchers_dropped_total")).toBe(1);
    expect(context.watcherCount).toBe(1);
    await closers.pop()!();
    const quickLines = (await quickText).split("\n").filter(line => line !== "");
    expect(quickLines).toHaveLength(sent + 1);
    expect(JSON.parse(quickLines.at(-1)!).event).toBe("hostStopping");
    expect(context.watcherCount).toBe(0);
});

test("a closing port answers the call in flight and closes its connection", async () => {
    const { context, url } = await start();
    let refuse!: () => void;
    context.onSubmit = () =>
        new Promise(resolve => {
            refuse = () => resolve({ kind: "notRun", reason: "stopping" });
        });
    const body = JSON.stringify({ base: 0, operationId: "o", declaration: {} });
    const headers = { authorization: `Bearer ${TOKEN}` };
    const calling = request(`${url}/v1/configuration`, { method: "POST", headers, body });
    await vi.waitUntil(() => refuse !== undefined);
    const closing = closers.pop()!();
    refuse();
    const answer = await calling;
    expect(answer.headers.connection).toBe("close");
    expect(await answer.body.json()).toMatchObject({ kind: "notRun", reason: "stopping" });
    await closing;
});

// Guards against a stop that never ends, since the HTTP server waits for a connection that was never used.
test("a connection that was opened ahead and never used does not hold up the close", async () => {
    const { clock, url } = await start();
    const unused = await connectTo(url);
    clock.advance(OLD_MS);
    await closers.pop()!();
    await sleep(SETTLE_MS);
    expect(unused.hasEnded).toBe(true);
});

// Guards against an answer that the HTTP server broke off when the port closed, since it was written but not yet sent.
test("an answer that a slow operator is still reading when the port closes arrives whole", async () => {
    const { context, url } = await start();
    context.onSubmit = async () => ({ kind: "notRun", reason: "x".repeat(LONG_BYTES) });
    const slow = await connectTo(url);
    slow.socket.pause();
    slow.send(getSubmitCall());
    await sleep(10 * SETTLE_MS);
    const closing = closers.pop()!();
    await sleep(SETTLE_MS);
    slow.socket.resume();
    await Promise.all([closing, once(slow.socket, "close")]);
    const [head, body] = slow.received.split("\r\n\r\n");
    expect(body!.length).toBe(Number(/content-length: (\d+)/.exec(head!)![1]));
});

// Guards against a submission that took effect and whose operator was told nothing, since an earlier answer closed the connection.
test("calls that were sent together are all answered when the port closes, and the last answer closes the connection", async () => {
    const { context, url } = await start();
    const answers: (() => void)[] = [];
    context.onSubmit = () =>
        new Promise(resolve => {
            answers.push(() => resolve({ kind: "notRun", reason: "stopping" }));
        });
    const operator = await connectTo(url);
    operator.send(getSubmitCall() + getSubmitCall());
    await vi.waitUntil(() => answers.length === 2);
    const closing = closers.pop()!();
    answers.forEach(answer => answer());
    await closing;
    await sleep(SETTLE_MS);
    expect([operator.statuses.length, operator.closings, operator.hasEnded]).toEqual([2, 1, true]);
});

async function connectTo(url: string): Promise<ConnectedCaller> {
    const operator = new ConnectedCaller(Number(new URL(url).port));
    await sleep(SETTLE_MS);
    return operator;
}

function getSubmitCall(): string {
    const body = JSON.stringify({ base: 0, operationId: "o", declaration: {} });
    return `POST /v1/configuration HTTP/1.1\r\nHost: operator\r\nAuthorization: Bearer ${TOKEN}\r\n`
        + `Content-Length: ${body.length}\r\n\r\n${body}`;
}

function watch(url: string): Promise<IncomingMessage> {
    return new Promise((resolve, reject) => {
        const headers = { authorization: `Bearer ${TOKEN}` };
        get(`${url}/v1/watch`, { headers, agent: false }, resolve).once("error", reject);
    });
}

async function readAll(stream: IncomingMessage): Promise<string> {
    let text = "";
    for await (const chunk of stream) {
        text += chunk;
    }
    return text;
}
