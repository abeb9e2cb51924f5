import { createRefusal } from "@arbutusdoor/common";
import fc from "fast-check";
import { expect, test } from "vitest";
import { evaluateDelivery } from "../src/core/evaluateDelivery.js";
import { stepHeartbeat } from "../src/core/stepHeartbeat.js";
import { stepRelay } from "../src/core/stepRelay.js";

const SEED = 11;
const TIMES = { heartbeatIntervalMs: 100, heartbeatTimeoutMs: 400 };
type RelayEvent = Parameters<typeof stepRelay>[1];

const EVENTS: readonly RelayEvent[] = [
    { kind: "sent" },
    { kind: "answered" },
    { kind: "refused", refusal: createRefusal("shed", "") },
    { kind: "answerEnded" },
    { kind: "answerBroken" },
    { kind: "linkLost" },
    { kind: "peerRestarted" },
    { kind: "verdict", verdict: { kind: "notReceived" } },
    { kind: "verdict", verdict: { kind: "received" } },
    { kind: "queryTimedOut" },
    { kind: "deadlinePassed" },
    { kind: "cancelled" },
];

test("a request is settled once, and as not run only if it was never sent or the peer reports so", () => {
    const property = fc.property(fc.array(fc.constantFrom(...EVENTS), { maxLength: 12 }), events => {
        let phase: Parameters<typeof stepRelay>[0] = "queued";
        let settled = 0;
        let wasHanded = false;
        for (const event of events) {
            const step = stepRelay(phase, event);
            wasHanded ||= phase === "queued" && event.kind === "sent";
            phase = step.phase;
            for (const action of step.actions) {
                settled += action.kind === "settle" || action.kind === "deliver" ? 1 : 0;
                const isNotRun = action.kind === "settle" && action.refusal.outcome === "notRun";
                const isPeerReport = event.kind === "refused" || event.kind === "verdict";
                expect(isNotRun && wasHanded && !isPeerReport).toBe(false);
            }
        }
        expect(settled).toBeLessThanOrEqual(1);
        expect(phase === "ended" ? settled : 1).toBe(1);
    });
    fc.assert(property, { seed: SEED, numRuns: 5_000 });
});

test.each(
    [
        ["received last", undefined, 3, 3, "received"],
        ["above the last received", undefined, 5, 3, "notReceived"],
        ["link no longer recorded", undefined, 5, undefined, "received"],
        ["runs by another link", { kind: "running" }, 5, 3, "wait"],
        ["ran by another link", { kind: "ran" }, 5, 3, "received"],
        ["barred", { kind: "barred" }, 1, undefined, "notReceived"],
    ] as const,
)("status of a request on a lost link: %s", (_name, record, stream, lastStream, expected) => {
    expect(evaluateDelivery(record, stream, lastStream).kind).toBe(expected);
});

test("an unresponsive peer is lost, but not because this process itself was paused", () => {
    const state = { receivedAt: 0, sentAt: 380, tickedAt: 300 };
    expect(stepHeartbeat(state, 399, TIMES).action).toBe("none");
    expect(stepHeartbeat(state, 400, TIMES).action).toBe("lost");
    const woken = stepHeartbeat(state, 5_000, TIMES);
    expect(woken.action).toBe("send");
    expect(stepHeartbeat({ ...woken.state, tickedAt: 5_300 }, 5_400, TIMES).action).toBe("lost");
});
