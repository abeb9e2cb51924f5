import { expect, test } from "vitest";
import { HolderReachability } from "../src/ownership/holderReachability.js";
import { createHolder } from "./support/createHolder.js";

const UNRESPONSIVE_AFTER_MS = 1_500;

// Guards against keys that move at the end of a store outage, away from servers that only had no open connection during it.
test("an order that was not sent for want of a connection says nothing about its server", () => {
    const holder = createHolder("s");
    const reachability = new HolderReachability([], UNRESPONSIVE_AFTER_MS);
    reachability.recordOutcome(holder, { kind: "notConnected" }, 0);
    expect([reachability.isFailing(holder), reachability.isUnresponsive(holder, 60_000)]).toEqual([
        false,
        false,
    ]);
    reachability.recordOutcome(holder, { kind: "unknown", reason: "no answer" }, 60_000);
    reachability.recordOutcome(holder, { kind: "notConnected" }, 60_800);
    expect([
        reachability.isFailing(holder),
        reachability.isUnresponsive(holder, 60_000 + UNRESPONSIVE_AFTER_MS),
    ]).toEqual([true, true]);
});
