import { type BackendAnswer } from "@arbutusdoor/clients";
import { ManualClock, Metrics, RandomSource, ShutdownSchedule } from "@arbutusdoor/common";
import {
    PoolPickerSettings,
    RetryBudgetSettings,
    ServerQueueSettings,
    StallMeter,
} from "@arbutusdoor/policy";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { RequestBody } from "../src/entry/requestBody.js";
import { PooledRouter } from "../src/routing/pooledRouter.js";
import { PoolView } from "../src/routing/poolView.js";
import { RetryRules } from "../src/routing/retryRules.js";
import type { Answer } from "../src/serving/answer.js";
import { ServerSender } from "../src/serving/serverSender.js";
import { createCallerRequest } from "./helpers/createCallerRequest.js";
import { createDeclaration } from "./helpers/createDeclaration.js";
import { ScriptedTraffic } from "./helpers/scriptedTraffic.js";

/** Less than the deadline of the requests. */
const STOP_MS = 300;
const SHED: BackendAnswer = { kind: "notRun", cause: "shed", detail: "busy" };
const LOST: BackendAnswer = { kind: "unknown", cause: "connectionLost", detail: "reset" };

class OneHostView extends PoolView {
    override readonly dataCentre = "north";
    override getDeclaration = createDeclaration;
    override getShare = () => ({ hosts: 1, position: 0 });
    override isLeaving = () => false;
}

function createAnswered(): BackendAnswer {
    return { kind: "answered", status: 200, headers: {}, body: Readable.from(["ok"]) };
}

function createScriptedRouter(script: ConstructorParameters<typeof ScriptedTraffic>[0]) {
    const clock = new ManualClock();
    const metrics = new Metrics();
    const traffic = new ScriptedTraffic(script);
    const shutdown = new ShutdownSchedule(clock);
    const router = new PooledRouter({
        clock,
        metrics,
        random: new RandomSource(1),
        sender: new ServerSender(clock, metrics, traffic),
        retryRules: new RetryRules(clock, RetryBudgetSettings.parse({})),
        view: new OneHostView(),
        pickerSettings: PoolPickerSettings.parse({}),
        queueSettings: ServerQueueSettings.parse({}),
        stalls: new StallMeter(clock),
        shutdown,
    });
    return { clock, metrics, router, shutdown, traffic };
}

function createRouter(...answers: BackendAnswer[]) {
    return createScriptedRouter((_request, count) => answers[count - 1] ?? createAnswered());
}

async function getOutcome(
    router: PooledRouter,
    requestClass: string,
    body = RequestBody.none(),
): Promise<string> {
    const answer = await router.route(createCallerRequest("permits", requestClass, { body }));
    return answer.kind === "answered" ? "answered" : `${answer.refusal.outcome} ${answer.refusal.reason}`;
}

test("an idempotent request whose connection was lost is retried at another server", async () => {
    const { router, traffic } = createRouter(LOST);
    expect(await getOutcome(router, "read")).toBe("answered");
    expect(new Set(traffic.sent.map(request => request.server)).size).toBe(2);
});

// Guards against a request that was given up with time left although no other attempt could follow.
test("only an attempt that another one may follow ends before the deadline", async () => {
    const { router, traffic } = createRouter(LOST, LOST);
    expect(await getOutcome(router, "read")).toBe("unknown connectionLost");
    expect(traffic.sent.map(({ deadline }) => deadline)).toEqual([250, 500]);
    const once = createRouter(LOST);
    await getOutcome(once.router, "once", RequestBody.whole(Buffer.from("x")));
    expect(once.traffic.sent.map(({ deadline }) => deadline)).toEqual([500]);
});

test("once-only work is retried only if it did not run", async () => {
    const shed = createRouter(SHED);
    expect(await getOutcome(shed.router, "once", RequestBody.whole(Buffer.from("x")))).toBe("answered");
    const lost = createRouter(LOST);
    expect(await getOutcome(lost.router, "once", RequestBody.whole(Buffer.from("x")))).toBe(
        "unknown connectionLost",
    );
    expect(lost.traffic.sent.length).toBe(1);
});

test("a refused last attempt is not reported as not run when an earlier attempt may have run", async () => {
    const { router, traffic } = createRouter(LOST, SHED);
    expect(await getOutcome(router, "read")).toBe("unknown earlierAttemptUnknown");
    expect(traffic.sent.length).toBe(2);
});

test("a streamed body of which no server has read is sent by the next attempt", async () => {
    const stream = Readable.from([Buffer.from("x"), Buffer.from("y")]);
    const { router, traffic, clock, metrics } = createScriptedRouter(async (request, count) => {
        if (count === 1) {
            return SHED;
        }
        const chunks: Buffer[] = [];
        for await (const chunk of request.body!) {
            chunks.push(chunk as Buffer);
        }
        return { ...createAnswered(), headers: { received: Buffer.concat(chunks).toString() } };
    });
    const body = RequestBody.arriving(stream);
    const answer = await router.route(createCallerRequest("permits", "once", { body, deadlineAt: 100_000 }));
    expect(answer).toMatchObject({ kind: "answered", headers: { received: "xy" } });
    expect(traffic.sent.length).toBe(2);
    await (answer as Extract<Answer, { kind: "answered"; }>).body.resume().toArray();
    clock.advance(60_000);
    expect(metrics.getCount("arbutusdoor_stalled_bodies_total", { class: "once" })).toBe(0);
});

test("a streamed body of which bytes were read is not sent again", async () => {
    const stream = Readable.from([Buffer.from("x"), Buffer.from("y")]);
    const { router, traffic } = createScriptedRouter(async request => {
        await request.body?.[Symbol.asyncIterator]().next();
        return SHED;
    });
    expect(await getOutcome(router, "once", RequestBody.arriving(stream))).toBe("notRun serverRefused");
    expect(traffic.sent.length).toBe(1);
});

// Guards against requests that were passed on when the process could not wait for their answers (LOST around SIGTERM).
test.each([
    ["is not sent at all", 0, "notRun stopping"],
    ["is not sent again", 1, "notRun stopping"],
])("a request %s if the process ends before its deadline", async (_, attempts, expected) => {
    const { router, shutdown, traffic } = createScriptedRouter(() => {
        shutdown.begin(0, STOP_MS);
        return SHED;
    });
    if (attempts === 0) {
        shutdown.begin(0, STOP_MS);
    }
    expect(await getOutcome(router, "once", RequestBody.whole(Buffer.from("x")))).toBe(expected);
    expect(traffic.sent.length).toBe(attempts);
});
