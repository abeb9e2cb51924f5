import { ManualClock, type RequestId, type ServiceId } from "@arbutusdoor/common";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import type { GatewayBody } from "../src/requests/gatewayBody.js";
import type { GatewayReply } from "../src/requests/gatewayReply.js";
import { createRoute } from "./support/createRoute.js";
import { createRouter } from "./support/createRouter.js";
import { ScriptedBackends } from "./support/scriptedBackends.js";
import type { ScriptedBehaviour } from "./support/scriptedBehaviour.js";

/** What a test sets. */
type Situation = {
    readonly steps: readonly ScriptedBehaviour[];
    readonly isIdempotent?: boolean;
    readonly isKeyed?: boolean;
    readonly body?: GatewayBody;
    readonly allowance?: number;
};

async function route(
    situation: Situation,
): Promise<{ readonly reply: string; readonly sent: readonly string[]; }> {
    const clock = new ManualClock();
    const backends = new ScriptedBackends(situation.steps);
    const router = createRouter({ clock, backends, allowance: situation.allowance });
    const { body = { kind: "none" }, isIdempotent = true, isKeyed = false } = situation;
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
        return `${reply.status} ${reply.reason}${reply.retryAfterMs === undefined ? "" : ", come back"}`;
    }
    return `${reply.status} ${Buffer.from(reply.body as Uint8Array).toString()}`;
}

test.each<[string, Situation, string, number]>([
    ["an answer is passed on", { steps: ["ok"] }, "200 whole", 1],
    [
        "once-only work goes on after a refusal",
        { steps: ["shed", "ok"], isIdempotent: false },
        "200 whole",
        2,
    ],
    [
        "once-only work goes on when no connection opened",
        { steps: ["unreachable", "ok"], isIdempotent: false },
        "200 whole",
        2,
    ],
    [
        "once-only work that may have run is never sent again",
        { steps: ["lost"], isIdempotent: false },
        "502 connectionLost",
        1,
    ],
    ["nor when its answer broke off", { steps: ["broken"], isIdempotent: false }, "502 connectionLost", 1],
    [
        "nor when its answer is not the server's",
        { steps: ["unsigned"], isIdempotent: false },
        "502 connectionLost",
        1,
    ],
    ["its server's failure is its answer", { steps: ["error"], isIdempotent: false }, "500 failed", 1],
    ["a read is sent again after anything", { steps: ["lost", "ok"] }, "200 whole", 2],
    [
        "a read runs on no more servers than the route allows",
        { steps: ["lost", "lost", "ok"] },
        "502 connectionLost",
        2,
    ],
    ["a read's failure is kept if nobody does better", { steps: ["error", "lost"] }, "500 failed", 2],
    [
        "refused by all: not run, and when to come back",
        { steps: ["shed", "shed", "shed"] },
        "503 shed, come back",
        3,
    ],
    ["no refusal claims not-run after a loss", { steps: ["lost", "shed", "shed", "shed"] }, "502 shed", 3],
    ["without budget nothing is sent again", { steps: ["shed"], allowance: 0 }, "503 shed, come back", 1],
    [
        "a body that was not kept is not sent again",
        {
            steps: ["lost"],
            body: { kind: "arriving", stream: newReadStream() },
        },
        "502 connectionLost",
        1,
    ],
    ["a silent server ends at the route's timeout", { steps: ["silent"], isKeyed: true }, "504 overdue", 1],
    [
        "a key's owner is asked again when it did not hold the key yet",
        { steps: ["misdirected", "ok"], isKeyed: true },
        "200 whole",
        2,
    ],
])("%s", async (_, situation, reply, sends) => {
    const result = await route(situation);
    expect([result.reply, result.sent.length]).toEqual([reply, sends]);
});

test("servers are told no more time than is left, and a refused request goes to others", async () => {
    const { sent } = await route({ steps: ["shed", "shed", "ok"], isIdempotent: false });
    expect(new Set(sent.map(line => line.split(" ")[0])).size).toBe(3);
    expect(sent.every(line => Number(line.split(" ").at(-1)) <= 1_000)).toBe(true);
});

function newReadStream(): Readable {
    const stream = Readable.from([Buffer.from("read")]);
    stream.read();
    stream.resume();
    return stream;
}
