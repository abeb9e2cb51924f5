import { createRefusal, type RequestId } from "@arbutusdoor/common";
import { RequestClass, Service } from "@arbutusdoor/configuration";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { expect, test } from "vitest";
import type { CallerRequest } from "../../src/entry/callerRequest.js";
import { RequestBody } from "../../src/entry/requestBody.js";
import { IntentRouter } from "../../src/intents/intentRouter.js";
import type { Answer } from "../../src/serving/answer.js";
import { IntentSimulation } from "./intentSimulation.js";

const requestClass = RequestClass.parse({ name: "deposit", methods: ["POST"], isIdempotent: false });
const service = Service.parse({ name: "reservas", kind: "keyed", classes: [requestClass] });

/** Creates a router on a new simulation, with a function that sends a request and reads its answer. */
function start(answer: () => Answer) {
    const simulation = new IntentSimulation();
    let sent = 0;
    const inner = {
        route: async () => {
            sent++;
            return answer();
        },
    };
    const router = new IntentRouter(
        simulation.clock,
        simulation.createStore("a"),
        simulation.settings,
        inner,
    );
    const send = async (id: string, signal = new AbortController().signal) => {
        const routed = router.route({ ...createRequest(id, simulation.clock.now() + 2_000), signal });
        await simulation.advance(10);
        const routedAnswer = await routed;
        if (routedAnswer.kind === "refusal") {
            return routedAnswer.refusal.reason;
        }
        const content = await text(routedAnswer.body).catch((error: Error) => `broke: ${error.message}`);
        await simulation.advance(10);
        return `${routedAnswer.status} ${content.slice(0, 20)}`;
    };
    return { send, countSent: () => sent };
}

function createRequest(id: string, deadlineAt: number): CallerRequest {
    return {
        id: id as RequestId,
        tenant: "lima",
        service,
        requestClass,
        key: "booking-1",
        method: "POST",
        path: "/deposit",
        headers: {},
        body: RequestBody.whole(Buffer.from("40 soles")),
        deadlineAt,
        idempotencyKey: "deposit-1",
        signal: new AbortController().signal,
    };
}

function answerWith(...chunks: readonly string[]): Answer {
    const body = Readable.from(chunks.map(chunk => Buffer.from(chunk)));
    return { kind: "answered", status: 201, headers: { "content-type": "text/plain" }, body };
}

test("a repeat gets the recorded answer and is not sent again", async () => {
    const { send, countSent } = start(() => answerWith("pa", "id"));
    expect([await send("a-1"), await send("a-2"), countSent()]).toEqual(["201 paid", "201 paid", 1]);
});

test("a request that did not run may be repeated", async () => {
    let refusals = 0;
    const refusal = createRefusal("noOwner", "");
    const { send } = start(() => refusals++ === 0 ? { kind: "refusal", refusal } : answerWith("paid"));
    expect([await send("a-1"), await send("a-2")]).toEqual(["noOwner", "201 paid"]);
});

test("a caller that disconnects before the request is sent may repeat it", async () => {
    const { send, countSent } = start(() => answerWith("paid"));
    expect([await send("a-1", AbortSignal.abort()), countSent()]).toEqual(["callerGone", 0]);
    expect([await send("a-2"), countSent()]).toEqual(["201 paid", 1]);
});

test("a large answer is passed on complete, and a repeat is refused as too large to be recorded", async () => {
    const large = "x".repeat(10_000);
    const { send, countSent } = start(() => answerWith(large, large, large));
    expect([await send("a-1"), await send("a-2"), countSent()])
        .toEqual([`201 ${"x".repeat(20)}`, "repeatAnswerTooLarge", 1]);
});

test.each([
    ["a small answer", 10, "connectionLost"],
    ["a large answer", 20_000, "201 broke: gone"],
])("%s that is truncated leaves the outcome unknown", async (_name, bytes, first) => {
    async function* produce() {
        yield Buffer.alloc(bytes);
        throw new Error("gone");
    }
    const { send, countSent } = start(() => {
        return { kind: "answered", status: 201, headers: {}, body: Readable.from(produce()) };
    });
    expect([await send("a-1"), await send("a-2"), countSent()]).toEqual([first, "repeatOutcomeUnknown", 1]);
});
