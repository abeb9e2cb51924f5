import { ManualClock, type Milliseconds, type RequestId, type ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { GatewayReply } from "../src/requests/gatewayReply.js";
import { createRoute } from "./support/createRoute.js";
import { createRouter } from "./support/createRouter.js";
import { DelayedBackends } from "./support/delayedBackends.js";

const DEADLINE_MS = 2_000;
const STEP_MS = 10;

/** Parameters of a test. */
type TestCase = {
    /** How long each attempt takes. */
    readonly steps: readonly (Milliseconds | "refuses")[];
    readonly isIdempotent?: boolean;
    readonly isKeyed?: boolean;
    readonly maxAttempts?: number;
    /** Retries that the budget allows. */
    readonly allowance?: number;
    /** When the caller leaves. */
    readonly leavesAt?: Milliseconds;
};

/** Routes a request of a service whose servers are slow; returns the reply, when it came, and the attempts that were broken off. */
async function route(testCase: TestCase): Promise<string> {
    const { allowance, isIdempotent = true, isKeyed = false, leavesAt = Infinity, maxAttempts = 2, steps } =
        testCase;
    const clock = new ManualClock();
    const backends = new DelayedBackends(clock, steps);
    const caller = new AbortController();
    let reply: GatewayReply | undefined;
    void createRouter({ clock, backends, allowance }).route({
        id: "r1" as RequestId,
        configurationVersion: 1,
        route: createRoute({ isIdempotent, maxAttempts, timeoutMs: DEADLINE_MS }),
        service: { id: "board" as ServiceId, maxConnections: 100, isKeyed, coldKeysMs: 0 },
        key: isKeyed ? 7 : undefined,
        method: "GET",
        path: "/x",
        headers: {},
        body: { kind: "none" },
        arrivedAt: 0,
        deadlineAt: DEADLINE_MS,
        callerGone: caller.signal,
    }).then(result => {
        reply = result;
    });
    for (;;) {
        await new Promise(setImmediate);
        if (reply) {
            const brokenOff = backends.brokenOff.length > 0
                ? `, broken off: ${backends.brokenOff.join(" ")}`
                : "";
            return `${describe(reply)} at ${clock.now()} of ${backends.sent}${brokenOff}`;
        }
        clock.advance(STEP_MS);
        if (clock.now() >= leavesAt) {
            caller.abort(new Error("the caller disconnected"));
        }
    }
}

function describe(reply: GatewayReply): string {
    if (reply.kind === "answer") {
        return `${reply.status} from ${Buffer.from(reply.body as Uint8Array).toString()}`;
    }
    return reply.kind === "refusal" ? `${reply.status} ${reply.reason}` : reply.kind;
}

// Guards against requests that were broken off while their servers worked on them, and answered 502 with time left, also after SIGTERM.
test.each(
    [
        ["both servers are slow", { steps: [900, 900] }, "200 from 1 at 900 of 2, broken off: 2"],
        ["the second server is faster", { steps: [900, 100] }, "200 from 2 at 350 of 2, broken off: 1"],
        ["all others refuse", { steps: [900, "refuses", "refuses"] }, "200 from 1 at 900 of 3"],
        ["no second attempt is allowed", { steps: [900], maxAttempts: 1 }, "200 from 1 at 900 of 1"],
        ["the budget allows no retry", { steps: [900], allowance: 0 }, "200 from 1 at 900 of 1"],
        ["it may run once only", { steps: [900], isIdempotent: false }, "200 from 1 at 900 of 1"],
        ["it is for the owner of a key", { steps: [900], isKeyed: true }, "200 from 1 at 900 of 1"],
    ] satisfies readonly [string, TestCase, string][],
)(
    "a request that takes longer than the pool's limit is answered when %s",
    async (_, testCase, expected) => {
        expect(await route(testCase)).toBe(expected);
    },
);

test("a request that no server answers ends at its deadline, and all attempts are broken off then", async () => {
    expect(await route({ steps: [5_000, 5_000] })).toBe("504 overdue at 2000 of 2, broken off: 1 2");
});

test("all attempts are broken off when the caller leaves", async () => {
    expect(await route({ steps: [900, 900], leavesAt: 500 })).toBe("gone at 500 of 2, broken off: 1 2");
});
