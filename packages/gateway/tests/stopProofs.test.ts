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

const SERVICE = "s" as ServiceId;
const SETTINGS = createOwnershipSettings(2_000, 2_000);
const [A, B] = [createHolder("a"), createHolder("b")];

function newRecorder(clock = new ManualClock()) {
    const lines: Record<string, unknown>[] = [];
    const logger = new Logger(clock, "host", "silent");
    logger.onEvent((event: LogEvent, fields) => lines.push({ event, ...fields }));
    return { clock, lines, logger };
}

function newMap(fence: number, ...ranges: readonly OwnedRange[]): KeyMap {
    return { term: 1, fence, ranges };
}

/** A keeper whose due orders are answered with outcomes by holder and kind; returns the first grants' clearances. */
function newSession(map: KeyMap, isInherited: boolean, states: Record<string, HolderState> = {}) {
    const keeper = new OrderScheduler(map, isInherited, 0, SETTINGS, ({ id }) => states[id] ?? "live");
    const answer = (now: number, outcome: OrderOutcome = { kind: "done" }) => {
        const orders = keeper.takeDueOrders(now, true, 100);
        orders.forEach(order => keeper.complete(order, outcome, now));
        return orders.flatMap(({ stopProofs: clearances, holder }) =>
            clearances
                ? [
                    `${holder.id}: ${
                        clearances.map(({ cause, grantAgeMs, holder: { id }, isInherited: inherited }) =>
                            `${id} ${cause} ${grantAgeMs ?? "-"}${inherited ? " inherited" : ""}`
                        ).join()
                    }`,
                ]
                : []
        );
    };
    const move = (to: typeof A, now: number) =>
        keeper.commit(keeper.propose(1, [{ first: 0, last: 9, owner: to }], now));
    return { answer, keeper, move };
}

const OWNED_BY_A: OwnedRange = { first: 0, last: 9, owner: A, fence: 1, previous: [] };

test("the first grant of a fence tells that nobody was to be cleared, or that the owner before answered a release", () => {
    const { answer, move } = newSession(newMap(1, OWNED_BY_A), false);
    expect(answer(0)).toEqual(["a: "]);
    expect(answer(2_000)).toEqual([]);
    move(B, 2_100);
    expect(answer(2_200)).toEqual([]);
    expect(answer(2_300)).toEqual(["b: a released -"]);
});

test("the first grant tells that the owner before is proved dead, also when the map no longer lists it", () => {
    const { answer, move } = newSession(newMap(1, OWNED_BY_A), false, { a: "dead" });
    move(B, 100);
    expect(answer(200)).toEqual(["b: a dead -"]);
});

test("the first grant tells of a lapse, and the age of the last grant", () => {
    const { answer, move } = newSession(newMap(1, OWNED_BY_A), false);
    answer(0, { kind: "unknown", reason: "no answer" });
    move(B, 100);
    expect(answer(200, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_140)).toEqual(["b: a lapsed 3140"]);
});

test("the first grant of a successor tells of a lapse by the time of its predecessor", () => {
    const map = newMap(2, { ...OWNED_BY_A, owner: B, fence: 2, previous: [A] });
    const { answer, keeper } = newSession(map, true);
    expect([keeper.countWaiting(0), keeper.getPredecessorTimeLeft(0)]).toEqual([
        1,
        SETTINGS.renewalAuthorityMs,
    ]);
    keeper.limitPredecessorTime(500);
    expect([keeper.countWaiting(600), keeper.getPredecessorTimeLeft(600)]).toEqual([1, 0]);
    expect(answer(600, { kind: "unknown", reason: "no answer" })).toEqual([]);
    expect(answer(3_640)).toEqual(["b: a lapsed 3140 inherited"]);
    expect(keeper.countWaiting(3_640)).toBe(0);
});

test("the first grant tells of an owner to which no grant is known, although another commit came between", () => {
    const map = newMap(1, OWNED_BY_A);
    const { answer, move } = newSession(map, false);
    move(B, 100);
    move(createHolder("c"), 200);
    expect(answer(300)).toEqual(["c: a unsent -,b unsent -"]);
});

// Two moves before the first grant made the owners of the inherited map pass for such that never had one.
test("owners of an inherited map count as cleared by the time of the predecessor only, also after two moves", () => {
    const map = newMap(2, { ...OWNED_BY_A, owner: B, fence: 2, previous: [A] });
    const { answer, keeper, move } = newSession(map, true);
    keeper.limitPredecessorTime(500);
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

test("the first grant tells of an owner whose last grant had lapsed when the range was taken from it", () => {
    const { answer, move } = newSession(newMap(1, OWNED_BY_A), false);
    answer(0, { kind: "unknown", reason: "no answer" });
    move(B, 4_000);
    expect(answer(4_100)).toEqual(["b: a lapsed 4000"]);
});

test("a proposal that was not written leaves no reason behind", () => {
    const { answer, keeper } = newSession(newMap(1, OWNED_BY_A), false);
    keeper.propose(1, [{ first: 0, last: 9, owner: B }], 100);
    keeper.abandon();
    expect(answer(200)).toEqual(["a: "]);
});

test("first grants of 200 ms go into one line, which names a few owners that were cleared by time", () => {
    const { lines, logger } = newRecorder();
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

test("orders without an answer make a line for the first of a server, and one with their number when it answers", () => {
    const { lines, logger } = newRecorder();
    const log = new OrderLog(SERVICE, logger);
    const order = { kind: "grant", first: 7, last: 9, fence: 3, holder: A, handover: undefined } as const;
    log.recordOutcome(order, { kind: "done" }, 0, 10);
    for (const sentAt of [100, 300, 500]) {
        log.recordOutcome(order, { kind: "unknown", reason: "no answer" }, sentAt, sentAt + 800);
    }
    log.recordOutcome(order, { kind: "notListening" }, 1_300, 1_301);
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
