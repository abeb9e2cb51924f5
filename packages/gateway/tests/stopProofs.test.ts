import { type LogEvent, Logger, ManualClock, type ServiceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import { FirstGrantLog } from "../src/ownership/firstGrantLog.js";
import type { HolderState } from "../src/ownership/holderState.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { OrderLog } from "../src/ownership/orderLog.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import type { OwnedRange } from "../src/ownership/ownedRange.js";
import { createHolder } from "./support/createHolder.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const SERVICE = "s" as ServiceId;
const SETTINGS = createOwnershipSettings(2_000, 2_000);
const [A, B] = [createHolder("a"), createHolder("b")];

function createRecorder(clock = new ManualClock()) {
    const lines: Record<string, unknown>[] = [];
    const logger = new Logger(clock, "host", "silent");
    logger.onEvent((event: LogEvent, fields) => lines.push({ event, ...fields }));
    return { clock, lines, logger };
}

function createMap(fence: number, ...ranges: readonly OwnedRange[]): KeyMap {
    return { term: 1, fence, ranges };
}

/** Creates a scheduler; `answer` completes its due orders with an outcome and returns the stop proofs of first grants. */
function createSession(map: KeyMap, isInherited: boolean, states: Record<string, HolderState> = {}) {
    const scheduler = new OrderScheduler(
        map,
        isInherited,
        0,
        SETTINGS,
        ({ id }) => states[id] ?? "live",
        SAME_CLOCK,
    );
    const answer = (now: number, outcome: OrderOutcome = { kind: "done" }) => {
        const orders = scheduler.takeDueOrders(now, true, 100);
        orders.forEach(order => scheduler.complete(order, outcome, now));
        return orders.flatMap(({ stopProofs, holder }) =>
            stopProofs
                ? [
                    `${holder.id}: ${
                        stopProofs.map(({ cause, grantAgeMs, holder: { id }, isInherited: inherited }) =>
                            `${id} ${cause} ${grantAgeMs ?? "-"}${inherited ? " inherited" : ""}`
                        ).join()
                    }`,
                ]
                : []
        );
    };
    const move = (to: typeof A, now: number) =>
        scheduler.commit(scheduler.propose(1, [{ first: 0, last: 9, owner: to }], now));
    return { answer, scheduler, move };
}

const OWNED_BY_A: OwnedRange = { first: 0, last: 9, owner: A, fence: 1, previous: [] };

test("the first grant under a fencing token reports that there was no earlier owner, or that it answered a release", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false);
    expect(answer(0)).toEqual(["a: "]);
    expect(answer(2_000)).toEqual([]);
    move(B, 2_100);
    expect(answer(2_200)).toEqual([]);
    expect(answer(2_300)).toEqual(["b: a released -"]);
});

test("the first grant reports that the earlier owner is proved dead, also when the map no longer lists it", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false, { a: "dead" });
    move(B, 100);
    expect(answer(200)).toEqual(["b: a dead -"]);
});

const UNSENT: OrderOutcome = { kind: "unsent", reason: "refused" };
/** Longest time for which a server may hold keys after a grant was sent to it. */
const EXPIRY_MS = SETTINGS.orderTimeoutMs + SETTINGS.holdMs * (1 + SETTINGS.clockSlowness)
    + SETTINGS.expiryMarginMs;

// Guards against keys of a crashed server that waited for renewals that its refused connections never took.
test("a renewal that was not sent does not put off the expiry of the one before", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false);
    answer(0);
    expect(answer(700, UNSENT)).toEqual([]);
    answer(950, UNSENT);
    move(B, 1_000);
    for (let now = 1_000; now < EXPIRY_MS; now += 100) {
        expect(answer(now, UNSENT)).toEqual([]);
    }
    expect(answer(EXPIRY_MS + 200)).toEqual([`b: a lapsed ${EXPIRY_MS + 200}`]);
});

test("a first grant that was not sent leaves nothing to expire", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false);
    answer(0, UNSENT);
    move(B, 100);
    expect(answer(300)).toEqual(["b: a unsent -"]);
});

test("an order that was not sent does not hide the grant that followed it", () => {
    const { move, scheduler } = createSession(createMap(1, OWNED_BY_A), false);
    const [first] = scheduler.takeDueOrders(0, true, 100);
    // The range is divided under its fencing token while the grant is in flight.
    const [whole] = scheduler.map.ranges;
    scheduler.commit(
        createMap(1, { ...whole!, last: 4 }, { ...whole!, first: 5 }),
    );
    const [second] = scheduler.takeDueOrders(1_000, true, 100);
    scheduler.complete(first!, UNSENT, 1_001);
    scheduler.complete(second!, { kind: "unknown", reason: "no answer" }, 1_800);
    move(B, 1_900);
    expect(scheduler.takeDueOrders(EXPIRY_MS + 900, true, 100).filter(({ kind }) => kind === "grant"))
        .toEqual([]);
});

test("the first grant reports an expiry, and the age of the last grant", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false);
    answer(0, { kind: "unknown", reason: "no answer" });
    move(B, 100);
    expect(answer(200, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_140)).toEqual(["b: a lapsed 3140"]);
});

test("the first grant of a successor reports an expiry counted from the end of its predecessor", () => {
    const map = createMap(2, { ...OWNED_BY_A, owner: B, fence: 2, previous: [A] });
    const { answer, scheduler } = createSession(map, true);
    expect([scheduler.listWaiting(0).length, scheduler.getPredecessorTimeLeft(0)]).toEqual([
        1,
        SETTINGS.renewalAuthorityMs,
    ]);
    scheduler.limitPredecessorTime(500);
    expect([scheduler.listWaiting(600).length, scheduler.getPredecessorTimeLeft(600)]).toEqual([1, 0]);
    expect(answer(600, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_640)).toEqual(["b: a lapsed 3140 inherited"]);
    expect(scheduler.listWaiting(3_640).length).toBe(0);
});

test("the first grant reports an owner without a known grant, although another commit came between", () => {
    const map = createMap(1, OWNED_BY_A);
    const { answer, move } = createSession(map, false);
    move(B, 100);
    move(createHolder("c"), 200);
    expect(answer(300)).toEqual(["c: a unsent -,b unsent -"]);
});

// Guards against owners of an inherited map that count as never granted after two moves before the first grant.
test("owners of an inherited map count as stopped only by the time of the predecessor, also after two moves", () => {
    const map = createMap(2, { ...OWNED_BY_A, owner: B, fence: 2, previous: [A] });
    const { answer, scheduler, move } = createSession(map, true);
    scheduler.limitPredecessorTime(500);
    move(createHolder("c"), 100);
    move(createHolder("d"), 200);
    expect(answer(300, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_639, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_640 + SETTINGS.retryMs)).toEqual([
        `d: c unsent -,a lapsed ${3_140 + SETTINGS.retryMs} inherited,b lapsed ${
            3_140 + SETTINGS.retryMs
        } inherited`,
    ]);
});

test("the first grant reports an owner whose last grant had expired when the range was taken from it", () => {
    const { answer, move } = createSession(createMap(1, OWNED_BY_A), false);
    answer(0, { kind: "unknown", reason: "no answer" });
    move(B, 4_000);
    expect(answer(4_100)).toEqual(["b: a lapsed 4000"]);
});

test("a proposal that was not written leaves no stop proof", () => {
    const { answer, scheduler } = createSession(createMap(1, OWNED_BY_A), false);
    scheduler.propose(1, [{ first: 0, last: 9, owner: B }], 100);
    scheduler.abandon();
    expect(answer(200)).toEqual(["a: "]);
});

test("first grants within 200 ms share one line, which names a few of the owners whose grants expired", () => {
    const { lines, logger } = createRecorder();
    const log = new FirstGrantLog(SERVICE, logger);
    const order = { kind: "grant", last: 9, holder: B, handover: undefined } as const;
    const lapsed = Array.from({ length: 9 }, (_, index) => ({
        ...order,
        first: index,
        fence: 5 + index,
        stopProofs: [{
            holder: createHolder(`x${index}`),
            cause: "lapsed" as const,
            grantAgeMs: 3_000 + index,
            isInherited: index === 0,
        }],
    }));
    log.add(lapsed, 0);
    const unsent = { holder: A, cause: "unsent", grantAgeMs: undefined, isInherited: false } as const;
    log.add([{ ...order, first: 70, fence: 4, stopProofs: [unsent] }], 100);
    log.add([{ ...order, first: 80, fence: 4, stopProofs: [] }, { ...order, first: 90, fence: 3 }], 100);
    log.flush(180);
    expect(lines).toEqual([]);
    log.flush(200);
    log.flush(400);
    expect(lines).toEqual([{
        event: "keysGranted",
        service: SERVICE,
        ranges: 11,
        fromFence: 4,
        toFence: 13,
        without: 1,
        released: 0,
        dead: 0,
        lapsed: 9,
        unsent: 1,
        inherited: 1,
        oldestGrantMs: 3_008,
        newestGrantMs: 3_000,
        lapsedOwners: "x0@0 x1@1 x2@2 x3@3",
        unsentOwners: "a@70",
    }]);
});

test("unanswered orders to a server are logged at the first one, and with their number when the server answers", () => {
    const { lines, logger } = createRecorder();
    const log = new OrderLog(SERVICE, logger);
    const order = { kind: "grant", first: 7, last: 9, fence: 3, holder: A, handover: undefined } as const;
    log.recordOutcome(order, { kind: "done" }, 0, 10);
    for (const sentAt of [100, 300, 500]) {
        log.recordOutcome(order, { kind: "unknown", reason: "no answer" }, sentAt, sentAt + 800);
    }
    log.recordOutcome(order, { kind: "unsent", reason: "refused" }, 1_300, 1_301);
    log.recordOutcome(order, { kind: "done" }, 1_400, 1_402);
    log.recordOutcome(order, { kind: "done" }, 1_500, 1_502);
    expect(lines).toEqual([
        {
            event: "keyOrderUnanswered",
            service: SERVICE,
            order: "grant",
            server: "a",
            first: 7,
            fence: 3,
            reason: "no answer",
            ageMs: 800,
        },
        {
            event: "keyOrdersEnded",
            service: SERVICE,
            server: "a",
            orders: 3,
            spellMs: 1_302,
            outcome: "done",
        },
    ]);
});
