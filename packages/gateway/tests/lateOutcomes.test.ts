import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import type { KeyOrder } from "../src/ownership/keyOrder.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import { createHolder } from "./support/createHolder.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const SETTINGS = createOwnershipSettings(9_000, 9_000);
const HELD_MS = SETTINGS.holdMs * (1 + SETTINGS.clockSlowness) + SETTINGS.expiryMarginMs;
const [A, B, C] = [createHolder("a"), createHolder("b"), createHolder("c")];
const MAP: KeyMap = { term: 1, fence: 1, ranges: [{ first: 0, last: 9, owner: A, fence: 1, previous: [] }] };
const UNKNOWN: OrderOutcome = { kind: "unknown", reason: "no answer" };

/** Creates a scheduler that has sent a grant of all keys to `a` at time 0; `listGranted` returns who gets grants at a time. */
function createSession() {
    const scheduler = new OrderScheduler(MAP, false, 0, SETTINGS, () => "live", SAME_CLOCK);
    const [grant] = scheduler.takeDueOrders(0, true, 100) as [KeyOrder];
    const listGranted = (now: number) => {
        const orders = scheduler.takeDueOrders(now, true, 100);
        orders.filter(({ kind }) => kind === "release").forEach(order =>
            scheduler.complete(order, UNKNOWN, now)
        );
        return orders.filter(({ kind }) => kind === "grant").map(({ first, holder }) =>
            `${holder.id}@${first}`
        );
    };
    return { grant, listGranted, scheduler };
}

// Guards against two owners of a key: a coordinator whose event loop stands still sends a grant, or gives it up, later than its time limit.
test.each<OrderOutcome>([UNKNOWN, { kind: "done" }, { kind: "fenced" }])(
    "a grant whose outcome ($kind) is learned late is held from then",
    outcome => {
        const { grant, listGranted, scheduler } = createSession();
        scheduler.commit(scheduler.propose(1, [{ first: 0, last: 9, owner: B }], 100));
        scheduler.complete(grant, outcome, 3_000);
        expect(listGranted(3_000 + HELD_MS - 1)).toEqual([]);
        expect(listGranted(3_000 + HELD_MS + SETTINGS.retryMs)).toEqual(["b@0"]);
    },
);

test("a grant that was not sent is not held, although this is learned late", () => {
    const { grant, listGranted, scheduler } = createSession();
    scheduler.commit(scheduler.propose(1, [{ first: 0, last: 9, owner: B }], 100));
    scheduler.complete(grant, { kind: "unsent", reason: "refused" }, 3_000);
    expect(listGranted(3_000 + HELD_MS)).toEqual(["b@0"]);
});

test("a late outcome counts for all parts of a range that was divided meanwhile", () => {
    const { grant, listGranted, scheduler } = createSession();
    scheduler.commit(
        scheduler.propose(1, [{ first: 2, last: 4, owner: B }, { first: 5, last: 9, owner: C }], 100),
    );
    scheduler.complete(grant, UNKNOWN, 3_000);
    const isOfNewOwner = (name: string) => !name.startsWith("a");
    expect(listGranted(3_000 + HELD_MS - 1).filter(isOfNewOwner)).toEqual([]);
    expect(listGranted(3_000 + HELD_MS + SETTINGS.retryMs).filter(isOfNewOwner)).toEqual(["b@2", "c@5"]);
});

test("a grant without an outcome has not expired, however long ago it was sent", () => {
    const { listGranted, scheduler } = createSession();
    scheduler.commit(scheduler.propose(1, [{ first: 0, last: 9, owner: B }], 100));
    expect(listGranted(60_000)).toEqual([]);
    expect(scheduler.listWaiting(60_000).map(({ holders }) => holders)).toEqual([[A]]);
});

// Guards against a successor that relies on a time in the map: the coordinator that wrote it learned of a grant's outcome only later.
test("the map states no time for an owner with a grant without an outcome, and asks for a commit once it is known", () => {
    const scheduler = new OrderScheduler(MAP, false, 0, SETTINGS, () => "leaving", SAME_CLOCK);
    const [grant] = scheduler.takeDueOrders(0, true, 100) as [KeyOrder];
    scheduler.commit(scheduler.propose(1, [{ first: 0, last: 9, owner: B }], 500));
    expect(scheduler.map.ranges[0]!.previousUntil).toBeUndefined();
    expect(scheduler.needsCommit).toBe(false);
    scheduler.complete(grant, UNKNOWN, 4_000);
    expect(scheduler.needsCommit).toBe(true);
    scheduler.commit(scheduler.propose(1, [], 4_100));
    expect(scheduler.map.ranges[0]!.previousUntil).toBe(4_000 - SETTINGS.orderTimeoutMs);
    expect(scheduler.needsCommit).toBe(false);
});

test("an order that was not sent does not take a late outcome of the one before back", () => {
    const { grant, listGranted, scheduler } = createSession();
    scheduler.commit(scheduler.propose(1, [{ first: 5, last: 9, owner: C }], 50));
    const [next] = scheduler.takeDueOrders(100, true, 100).filter(({ kind }) => kind === "grant");
    expect(next).toMatchObject({ first: 0, last: 4, holder: A });
    scheduler.complete(grant, UNKNOWN, 4_000);
    scheduler.complete(next!, { kind: "unsent", reason: "refused" }, 4_000);
    scheduler.commit(scheduler.propose(1, [{ first: 0, last: 4, owner: B }], 4_100));
    expect(listGranted(4_000 + HELD_MS - 1).filter(name => name.startsWith("b"))).toEqual([]);
    expect(listGranted(4_000 + HELD_MS + SETTINGS.retryMs)).toContain("b@0");
});
