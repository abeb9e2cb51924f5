import {
    createRefusal,
    type HostId,
    ManualClock,
    Metrics,
    type RefusalReason,
    type ServerId,
    type ServerIncarnation,
    ShutdownSchedule,
    type SliceId,
} from "@arbutusdoor/common";
import type { HostIdentity, Route } from "@arbutusdoor/ownership";
import { RetryBudgetSettings } from "@arbutusdoor/policy";
import { Readable } from "node:stream";
import { expect, test } from "vitest";
import { KeyedRouter } from "../src/routing/keyedRouter.js";
import { OwnerWait } from "../src/routing/ownerWait.js";
import { RelayPort } from "../src/routing/relayPort.js";
import { RetryRules } from "../src/routing/retryRules.js";
import type { Answer } from "../src/serving/answer.js";
import { ServingPort } from "../src/serving/servingPort.js";
import { createCallerRequest } from "./helpers/createCallerRequest.js";

/** Less than the deadline of the requests. */
const STOP_MS = 300;
const ROUTE: Route = {
    kind: "route",
    slice: "range-0" as SliceId,
    generation: 3,
    server: "board-1" as ServerId,
    serverIncarnation: "board-1-a" as ServerIncarnation,
    address: "127.0.0.1:1",
    grantors: ["entry-1", "entry-2", "entry-3"].map(host => ({ host }) as HostIdentity),
    isLocalGrantor: true,
};

/** Ownership that never changes; a wait for a change advances the clock by its timeout. */
class StaticPort extends ServingPort {
    private readonly clock: ManualClock;

    constructor(clock: ManualClock) {
        super();
        this.clock = clock;
    }

    override getRoute = () => ROUTE;
    override mayServe = () => undefined;
    override beginRequest = () => () => undefined;
    override async waitForChange(timeout: number): Promise<void> {
        this.clock.advance(timeout);
    }
}

class ScriptedRelay extends RelayPort {
    readonly hosts: HostId[] = [];
    onForward: () => void = () => undefined;
    private readonly refusals: (RefusalReason | undefined)[];

    constructor(refusals: (RefusalReason | undefined)[]) {
        super();
        this.refusals = refusals;
    }

    override async forward(host: HostId): Promise<Answer> {
        this.hosts.push(host);
        this.onForward();
        const reason = this.refusals[this.hosts.length - 1];
        return reason === undefined
            ? { kind: "answered", status: 200, headers: {}, body: Readable.from([]) }
            : { kind: "refusal", refusal: createRefusal(reason, "") };
    }
}

async function route(...refusals: (RefusalReason | undefined)[]) {
    return routeAround(undefined, refusals);
}

/** Routes a request. `stopsAt` says when the process begins a stop that ends before the request's deadline. */
async function routeAround(
    stopsAt: "before" | "firstAttempt" | undefined,
    refusals: (RefusalReason | undefined)[],
) {
    const clock = new ManualClock();
    const serving = new StaticPort(clock);
    const relay = new ScriptedRelay(refusals);
    const rules = new RetryRules(clock, RetryBudgetSettings.parse({}));
    const shutdown = new ShutdownSchedule(clock);
    if (stopsAt === "before") {
        shutdown.begin(0, STOP_MS);
    }
    else if (stopsAt === "firstAttempt") {
        relay.onForward = () => shutdown.begin(0, STOP_MS);
    }
    const router = new KeyedRouter(
        clock,
        serving,
        relay,
        new OwnerWait(clock, new Metrics(), serving, 10, 400),
        rules,
        shutdown,
    );
    const answer = await router.route(createCallerRequest("board", "read"));
    const outcome = answer.kind === "answered"
        ? "answered"
        : `${answer.refusal.outcome} ${answer.refusal.reason}`;
    return { outcome, hosts: relay.hosts, time: clock.now() };
}

test("a request is sent to the next grantor without waiting when the first cannot reach the server", async () => {
    const { outcome, hosts, time } = await route("ownerUnreachable", "relayUnreachable", undefined);
    expect({ outcome, time, distinct: new Set(hosts).size }).toEqual({
        outcome: "answered",
        time: 0,
        distinct: 3,
    });
});

test("when no grantor reaches the server, the request waits, retries all of them and is finally refused as not run", async () => {
    const { outcome, hosts, time } = await route(...Array<RefusalReason>(1_000).fill("ownerUnreachable"));
    expect({ outcome, time }).toEqual({ outcome: "notRun ownerUnreachable", time: 400 });
    expect(hosts.length).toBeLessThan(100);
});

test("a request whose grantor was lost after the relay has an unknown outcome, even when a later attempt did not run", async () => {
    expect((await route("relayLost", ...Array<RefusalReason>(1_000).fill("ownerUnreachable"))).outcome)
        .toBe("unknown earlierAttemptUnknown");
});

// Guards against requests that were passed on when the process could not wait for their answers (LOST around SIGTERM).
test.each<[string, "before" | "firstAttempt", string, number]>([
    ["is not sent at all if the process ends before its deadline", "before", "notRun stopping", 0],
    [
        "is not sent again if the process ends before its deadline",
        "firstAttempt",
        "notRun ownerUnreachable",
        1,
    ],
    [
        "does not wait for an owner if the process ends before its deadline",
        "firstAttempt",
        "notRun noOwner",
        1,
    ],
])("a request %s", async (_, stopsAt, expected, attempts) => {
    const reason = expected.split(" ")[1] as RefusalReason;
    const { outcome, hosts, time } = await routeAround(stopsAt, [reason, undefined]);
    expect({ outcome, time, attempts: hosts.length }).toEqual({ outcome: expected, time: 0, attempts });
});
