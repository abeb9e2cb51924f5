import { ManualClock, type RequestId, type ServiceId } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import type { GatewayBody } from "../src/requests/gatewayBody.js";
import type { GatewayReply } from "../src/requests/gatewayReply.js";
import { createRoute } from "./support/createRoute.js";
import { createRouter } from "./support/createRouter.js";
import { ScriptedBackends } from "./support/scriptedBackends.js";
import type { ScriptedBehaviour } from "./support/scriptedBehaviour.js";

/** Parameters of a test. */
type TestCase = {
    readonly steps: readonly ScriptedBehaviour[];
    readonly isIdempotent?: boolean;
    readonly isKeyed?: boolean;
    readonly body?: GatewayBody;
    readonly allowance?: number;
};

async function route(
    testCase: TestCase,
): Promise<{ readonly reply: string; readonly sent: readonly string[]; }> {
    const clock = new ManualClock();
    const backends = new ScriptedBackends(testCase.steps);
    const router = createRouter({ clock, backends, allowance: testCase.allowance });
    const { body = { kind: "none" }, isIdempotent = true, isKeyed = false } = testCase;
    let reply: GatewayReply | undefined;
    void router.route({
        id: "r1" as RequestId,
        configurationVersion: 1,
        route: createRoute({ isIdempotent, maxAttempts: 2, timeoutMs: 1_000 }),
        service: { id: "board" as ServiceId, maxConnections: 100, isKeyed, coldKeysMs: 0 },
        key: isKeyed ? 7 : undefined,
        method: "GET",
        path: "/x",
        headers: {},
        body,
        arrivedAt: 0,
        deadlineAt: 1_000,
        callerGone: new AbortController().signal,
    }).then(result => {
        reply = result;
    });
    while (!reply) {
        await new Promise(setImmediate);
        clock.advance(10);
    }
    return { reply: describe(reply), sent: backends.sent };
}

function describe(reply: GatewayReply): string {
    if (reply.kind === "gone") {
        return "gone";
    }
    if (reply.kind === "refusal") {
        return `${reply.status} ${reply.reason}${reply.retryAfterMs === undefined ? "" : ", retry later"}`;
    }
    return `${reply.status} ${Buffer.from(reply.body as Uint8Array).toString()}`;
}

test.each<[string, TestCase, string, number]>([
    ["an answer is forwarded", { steps: ["ok"] }, "200 whole", 1],
    [
        "once-only work is retried after a refusal",
        { steps: ["shed", "ok"], isIdempotent: false },
        "200 whole",
        2,
    ],
    [
        "once-only work is retried when no connection opened",
        { steps: ["unreachable", "ok"], isIdempotent: false },
        "200 whole",
        2,
    ],
    [
        "once-only work that may have run is never retried",
        { steps: ["lost"], isIdempotent: false },
        "502 connectionLost",
        1,
    ],
    [
        "once-only work whose answer ended early is never retried",
        { steps: ["broken"], isIdempotent: false },
        "502 connectionLost",
        1,
    ],
    [
        "once-only work whose answer is not the server's is never retried",
        { steps: ["unsigned"], isIdempotent: false },
        "502 connectionLost",
        1,
    ],
    [
        "once-only work is answered with its server's error",
        { steps: ["error"], isIdempotent: false },
        "500 failed",
        1,
    ],
    ["a read is retried after any failure", { steps: ["lost", "ok"] }, "200 whole", 2],
    [
        "a read runs on no more servers than the route allows",
        { steps: ["lost", "lost", "ok"] },
        "502 connectionLost",
        2,
    ],
    [
        "a read is answered with a server's error if no other attempt succeeds",
        { steps: ["error", "lost"] },
        "500 failed",
        2,
    ],
    [
        "a request that all servers refuse is reported as not run, with a retry delay",
        { steps: ["shed", "shed", "shed"] },
        "503 shed, retry later",
        3,
    ],
    [
        "after a lost connection no refusal claims not-run",
        { steps: ["lost", "shed", "shed", "shed"] },
        "502 shed",
        3,
    ],
    ["without budget nothing is retried", { steps: ["shed"], allowance: 0 }, "503 shed, retry later", 1],
    [
        "a request that was withheld when it got its connection is sent without budget",
        { steps: ["withheld", "ok"], allowance: 0 },
        "200 whole",
        2,
    ],
    [
        "a request whose body was not buffered is not retried",
        {
            steps: ["lost"],
            body: { kind: "arriving", stream: createReadStream() },
        },
        "502 connectionLost",
        1,
    ],
    [
        "a request to an unresponsive server ends at the route's timeout",
        { steps: ["silent"], isKeyed: true },
        "504 overdue",
        1,
    ],
    [
        "an internal error in an attempt leaves its outcome unknown: a safe request is retried",
        { steps: ["throws", "ok"] },
        "200 whole",
        2,
    ],
    [
        "an internal error in an attempt leaves its outcome unknown: no refusal claims not-run",
        { steps: ["throws"], isIdempotent: false },
        "502 internalError",
        1,
    ],
    [
        "a request is retried at the owner of its key when it did not hold the key yet",
        { steps: ["misdirected", "ok"], isKeyed: true },
        "200 whole",
        2,
    ],
])("%s", async (_, testCase, reply, sends) => {
    const result = await route(testCase);
    expect([result.reply, result.sent.length]).toEqual([reply, sends]);
});

test("servers get no more time than is left, and a refused request goes to other servers", async () => {
    const { sent } = await route({ steps: ["shed", "shed", "ok"], isIdempotent: false });
    expect(new Set(sent.map(line => line.split(" ")[0])).size).toBe(3);
    expect(sent.every(line => Number(line.split(" ").at(-1)) <= 1_000)).toBe(true);
});

function createReadStream(): Readable {
    const stream = Readable.from([Buffer.from("read")]);
    stream.read();
    stream.resume();
    return stream;
}
