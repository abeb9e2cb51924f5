import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import { decodeKeyMap } from "../src/ownership/decodeKeyMap.js";
import { encodeKeyMap } from "../src/ownership/encodeKeyMap.js";
import { getGrantExpiry } from "../src/ownership/getGrantExpiry.js";
import { getHolderName } from "../src/ownership/getHolderName.js";
import type { HolderState } from "../src/ownership/holderState.js";
import type { KeyHolder } from "../src/ownership/keyHolder.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import type { KeyOrder } from "../src/ownership/keyOrder.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import { createHolder } from "./support/createHolder.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const SETTINGS = createOwnershipSettings(9_000, 9_000);
const A = createHolder("a");
/** A newer incarnation of the same server. */
const NEWER = createHolder("a", 2);
const [B, C] = [createHolder("b"), createHolder("c")];
const DONE: OrderOutcome = { kind: "done" };
const OTHER_SERVER: OrderOutcome = { kind: "otherServer" };
const MAP: KeyMap = {
    term: 1,
    fence: 1,
    ranges: [{ first: 0, last: 65_535, owner: A, fence: 1, previous: [] }],
};

/**
 * Creates a coordinator of a range; `replace` lets the registry name the newer incarnation. While `a` does not answer, an order to either of
 * its incarnations gets another server's answer.
 */
function createSession(map: KeyMap, isInherited: boolean) {
    const states = new Map<string, HolderState>();
    const getState = (holder: KeyHolder) => states.get(getHolderName(holder)) ?? "live";
    const replace = (state: HolderState) => {
        states.set(getHolderName(A), "replaced").set(getHolderName(NEWER), state);
    };
    const scheduler = new OrderScheduler(map, isInherited, 0, SETTINGS, getState, SAME_CLOCK);
    const step = (now: number, isAnswering: boolean): readonly KeyOrder[] => {
        const orders = scheduler.takeDueOrders(now, true, 100);
        orders.forEach(order =>
            scheduler.complete(order, order.holder.id === "a" && !isAnswering ? OTHER_SERVER : DONE, now)
        );
        return orders;
    };
    const move = (owner: KeyHolder, now: number) =>
        scheduler.commit(scheduler.propose(1, [{ first: 0, last: 65_535, owner }], now));
    return { move, replace, scheduler, step };
}

/** Returns when a holder got its first grant; Infinity when it got none by `until`. */
function findGrantTime(
    { step }: ReturnType<typeof createSession>,
    holder: KeyHolder,
    from: number,
    until: number,
): number {
    for (let now = from; now <= until; now += 20) {
        if (step(now, false).some(({ holder: { id }, kind }) => kind === "grant" && id === holder.id)) {
            return now;
        }
    }
    return Infinity;
}

// Guards against two owners of a key: an entry of another writer named a newer incarnation of a server that was up, at another server's
// address, and that one's answer counted as the end of the incarnation that held the keys.
test("the end of a newer incarnation frees no keys of the earlier one", () => {
    const session = createSession(MAP, false);
    session.step(0, true);
    session.replace("dead");
    session.move(NEWER, 1_000);
    session.step(1_020, false);
    session.move(B, 2_000);
    expect(findGrantTime(session, B, 2_020, 20_000)).toBeGreaterThanOrEqual(getGrantExpiry(0, SETTINGS));
});

// Guards against the same after a second move, and after a return of the keys to the server.
test("the end of a newer incarnation frees no keys of the earlier one, whichever owners came between", () => {
    const session = createSession(MAP, false);
    session.step(0, true);
    session.replace("dead");
    [NEWER, B, NEWER, C, B].forEach((owner, index) => session.move(owner, 1_000 + 100 * index));
    expect(findGrantTime(session, B, 2_020, 20_000)).toBeGreaterThanOrEqual(getGrantExpiry(0, SETTINGS));
});

// Guards against the same by a successor, which knows only the map.
test("a successor counts with the grants of an earlier incarnation of an ended owner", () => {
    const before = createSession(MAP, false);
    before.step(0, true);
    before.replace("dead");
    before.move(NEWER, 1_000);
    const map = decodeKeyMap(encodeKeyMap({ ...before.scheduler.map, term: 2 }));
    const session = createSession(map, true);
    session.replace("dead");
    session.scheduler.limitPredecessorTime(0);
    session.move(B, 2_000);
    expect(findGrantTime(session, B, 2_020, 20_000)).toBeGreaterThanOrEqual(getGrantExpiry(0, SETTINGS));
});

test("the earlier incarnation's answer to a release frees the keys at once", () => {
    const session = createSession(MAP, false);
    session.step(0, true);
    session.replace("dead");
    session.move(NEWER, 1_000);
    session.move(B, 2_000);
    expect(session.step(2_020, true).map(({ holder, kind }) => `${kind} ${getHolderName(holder)}`)).toEqual([
        "release a@1",
    ]);
    expect(session.step(2_040, true).map(({ holder, kind }) => `${kind} ${getHolderName(holder)}`)).toEqual([
        "grant b@1",
    ]);
});

test("a restarted server gets its keys back without waiting for the grants of its earlier incarnation", () => {
    const session = createSession(MAP, false);
    session.step(0, true);
    session.replace("live");
    session.move(NEWER, 1_000);
    expect(session.step(1_020, true).map(({ holder, kind }) => `${kind} ${getHolderName(holder)}`)).toEqual([
        "grant a@2",
    ]);
    expect(session.scheduler.listWaiting(1_040)).toEqual([]);
});

test("the map lists an earlier incarnation of an owner until its grants have expired", () => {
    const session = createSession(MAP, false);
    session.step(0, true);
    session.replace("live");
    session.move(NEWER, 1_000);
    const listPrevious = () => session.scheduler.map.ranges[0]!.previous.map(getHolderName);
    expect(listPrevious()).toEqual(["a@1"]);
    session.scheduler.commit(session.scheduler.propose(1, [], getGrantExpiry(0, SETTINGS)));
    expect(listPrevious()).toEqual([]);
});
