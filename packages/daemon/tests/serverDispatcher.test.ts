import {
    ManualClock,
    Metrics,
    type RequestId,
    type ServerId,
    ShutdownSchedule,
    type SliceId,
} from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";
import { ServerQueueSettings, SliceLoadSettings, StallMeter } from "@arbutusdoor/policy";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { BalanceSettings } from "../src/balance/balanceSettings.js";
import { LoadTracker } from "../src/balance/loadTracker.js";
import { ServerDispatcher } from "../src/serving/serverDispatcher.js";
import { ServerSender } from "../src/serving/serverSender.js";
import { ServingPort } from "../src/serving/servingPort.js";
import type { ServingRequest } from "../src/serving/servingRequest.js";
import { createDeclaration } from "./helpers/createDeclaration.js";
import { ScriptedTraffic } from "./helpers/scriptedTraffic.js";

const DEADLINE_MS = 500;
/** Less than the deadline. */
const STOP_MS = 300;

/** Ownership that allows every request. */
class OpenServing extends ServingPort {
    override getRoute = (): Route => ({
        kind: "refusal",
        refusal: { outcome: "notRun", reason: "noOwner", detail: "" },
    });
    override mayServe = () => undefined;
    override beginRequest = () => () => undefined;
    override async waitForChange(): Promise<void> {}
}

// Guards against requests, also those of other hosts, that left a queue when the process could not wait for their answers (LOST around SIGTERM).
test("a request that waited for a slot is refused as not run if the process ends before its deadline", async () => {
    const clock = new ManualClock();
    const metrics = new Metrics();
    const shutdown = new ShutdownSchedule(clock);
    let answerFirst = () => {};
    const traffic = new ScriptedTraffic(() =>
        new Promise(resolve => {
            answerFirst = () =>
                resolve({ kind: "answered", status: 200, headers: {}, body: Readable.from(["ok"]) });
        })
    );
    const dispatcher = new ServerDispatcher({
        clock,
        metrics,
        shutdown,
        serving: new OpenServing(),
        sender: new ServerSender(clock, metrics, traffic),
        queueSettings: ServerQueueSettings.parse({}),
        stalls: new StallMeter(clock),
        loadTracker: new LoadTracker(clock, BalanceSettings.parse({}), SliceLoadSettings.parse({})),
        requestsOverSlots: 0,
    });
    const first = dispatcher.serve(createServingRequest("first"), 1);
    const second = dispatcher.serve(createServingRequest("second"), 1);
    shutdown.begin(0, STOP_MS);
    const third = dispatcher.serve(createServingRequest("third"), 1);
    answerFirst();
    const answer = await first;
    expect(answer.kind).toBe("answered");
    if (answer.kind === "answered") {
        await answer.body.toArray();
    }
    const refusal = { kind: "refusal", refusal: { outcome: "notRun", reason: "stopping" } };
    expect(await third).toMatchObject(refusal);
    expect(await second).toMatchObject(refusal);
    expect(traffic.sent.map(({ id }) => id)).toEqual(["first"]);
});

function createServingRequest(id: string): ServingRequest {
    const board = createDeclaration().services.find(({ name }) => name === "board")!;
    return {
        id: id as RequestId,
        tenant: "aqaba",
        service: board.name,
        requestClass: board.classes[0]!,
        server: "board-1" as ServerId,
        address: "127.0.0.1:1",
        slice: { service: "board" as never, slice: "range-0" as SliceId, generation: 3 },
        key: "beach",
        method: "GET",
        path: "/board/beach",
        headers: {},
        body: undefined,
        deadlineAt: DEADLINE_MS,
        signal: new AbortController().signal,
    };
}
