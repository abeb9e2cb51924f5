import type { ServerId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import { createHolder } from "./support/createHolder.js";
import { createRegisteredServer } from "./support/createRegisteredServer.js";
import { ServiceCoordinatorHarness } from "./support/serviceCoordinatorHarness.js";

const A = "a" as ServerId;
const STRIPE_KEYS = 4_096;
const MAP = assignInitialKeys(["a", "b", "c"].map(id => createHolder(id)), STRIPE_KEYS, 1, 1);
/** Longest time between the renewals of a grant, and two orders that find another server at the address. */
const FOUND_MS = 3_600 + 500;

async function takeOver(): Promise<ServiceCoordinatorHarness> {
    const harness = new ServiceCoordinatorHarness(["a", "b", "c"]);
    await harness.inherit(MAP);
    return harness;
}

/** Whether other servers hold all keys, those that `a` had too. */
function isFreed({ held, map: { ranges } }: ServiceCoordinatorHarness): boolean {
    return ranges.every(({ first, owner, previous }) =>
        owner.id !== A && (previous.every(({ id }) => id !== A) || held.includes(first))
    );
}

// Guards against keys that stay with an ended server whose entry is there, since it had the least load of all.
test("an ended server's keys are free once two orders have found another server at its address", async () => {
    const harness = await takeOver();
    await harness.run(1_000);
    harness.orders.reused.add(A);
    await harness.run(FOUND_MS);
    expect(isFreed(harness)).toBe(true);
});

test("a server that ended before a takeover frees its keys as soon, if its entry is gone", async () => {
    const harness = await takeOver();
    harness.view.applyChanges(1, [{ key: "a", version: 2, content: { kind: "absent" } }], 2);
    harness.orders.reused.add(A);
    await harness.run(1_000);
    expect(isFreed(harness)).toBe(true);
});

// Guards against two owners of a key: the entry that names the address may be another writer's, and predecessors may have known the right one.
test("another server's answer frees no keys at an address that a successor knows only by an entry", async () => {
    const harness = await takeOver();
    const value = createRegisteredServer("a", { isDraining: true });
    harness.view.applyChanges(1, [{ key: "a", version: 2, content: { kind: "value", value } }], 2);
    harness.orders.reused.add(A);
    await harness.run(8_000);
    expect(isFreed(harness)).toBe(false);
});
