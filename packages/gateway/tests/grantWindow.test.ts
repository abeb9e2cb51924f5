import { expect, test } from "vitest";
import { createOwnershipSettings } from "../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../src/orders/orderOutcome.js";
import type { KeyOrder } from "../src/ownership/keyOrder.js";
import { OrderScheduler } from "../src/ownership/orderScheduler.js";
import { createHolder } from "./support/createHolder.js";
import { createStripedMap } from "./support/createStripedMap.js";
import { SAME_CLOCK } from "./support/sameClock.js";

const SERVERS = 40;
const RANGES = 880;
const STEP_MS = 20;
const HOLD_MS = 9_000;
const RENEWAL_LIMIT = 24;
const MOVE_LIMIT = 10;
/** Orders for which a host of half a core has processor time in one step, just after its start. */
const ORDERS_PER_STEP = 10;
const NO_ANSWER: OrderOutcome = { kind: "unknown", reason: "no answer" };

/** A coordinator of a small host that has taken over a map after a restart of all hosts. It works off its orders one after the other. */
class SmallCoordinator {
    readonly settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    readonly scheduler: OrderScheduler;
    /** Ranges by the time of their grant, by first key. */
    readonly grantedAt = new Map<number, number>();
    unanswered = 0;
    mostInFlight = 0;
    private readonly silent: string;
    private readonly waiting: { readonly order: KeyOrder; readonly sentAt: number; }[] = [];
    private now = 0;

    constructor(silent = "none") {
        this.silent = silent;
        const owners = Array.from({ length: RANGES }, (_, key) => createHolder(`s${key % SERVERS}`));
        this.scheduler = new OrderScheduler(
            createStripedMap(owners, 2),
            true,
            0,
            this.settings,
            () => "live",
            SAME_CLOCK,
        );
        this.scheduler.limitPredecessorTime(0);
    }

    run(duration: number): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            const due = this.scheduler.takeDueOrders(this.now, true, RENEWAL_LIMIT, MOVE_LIMIT);
            this.waiting.push(...due.map(order => ({ order, sentAt: this.now })));
            this.mostInFlight = Math.max(this.mostInFlight, this.waiting.length);
            const overdue = this.waiting.filter(({ sentAt }) =>
                this.now - sentAt >= this.settings.orderTimeoutMs
            );
            overdue.forEach(sent => this.end(sent, NO_ANSWER));
            const answering = this.waiting.filter(({ order }) => order.holder.id !== this.silent);
            answering.slice(0, ORDERS_PER_STEP).forEach(sent => this.end(sent, { kind: "done" }));
        }
    }

    private end(sent: { readonly order: KeyOrder; readonly sentAt: number; }, outcome: OrderOutcome): void {
        this.waiting.splice(this.waiting.indexOf(sent), 1);
        this.scheduler.complete(sent.order, outcome, this.now);
        if (outcome.kind === "done") {
            this.grantedAt.set(sent.order.first, this.grantedAt.get(sent.order.first) ?? this.now);
        }
        else {
            this.unanswered++;
        }
    }
}

// Load pattern: all hosts restart, and the new coordinator, with half a core, has to grant all ranges of a map that load has split.
test("a coordinator that takes over sends no more grants than it can see through before they time out", () => {
    const coordinator = new SmallCoordinator();
    coordinator.run(2_000);
    expect(coordinator.unanswered).toBe(0);
    expect(coordinator.grantedAt.size).toBe(RANGES);
    expect(coordinator.mostInFlight).toBeLessThanOrEqual(96);
    const owners = coordinator.scheduler.owners;
    expect(owners.filter(owner => coordinator.scheduler.isUnresponsive(owner, 10_000))).toEqual([]);
});

test("after a takeover, keys that callers ask for in vain are granted first", () => {
    const coordinator = new SmallCoordinator();
    coordinator.run(100);
    const requested = [RANGES - 1, RANGES - 2, RANGES - 3];
    requested.forEach(key => coordinator.scheduler.renewSoon(key, 100));
    coordinator.run(400);
    expect(requested.filter(key => !coordinator.grantedAt.has(key))).toEqual([]);
    expect(coordinator.grantedAt.size).toBeLessThan(RANGES / 2);
});

test("a server that does not answer holds up no grants to others", () => {
    const coordinator = new SmallCoordinator("s7");
    coordinator.run(2_500);
    expect(coordinator.grantedAt.size).toBe(RANGES - RANGES / SERVERS);
    // Its first three grants, and one at a time afterwards.
    expect(coordinator.unanswered).toBeLessThanOrEqual(3 + 3);
});

// Guards against a coordinator that takes no new connections for seconds after it has taken over: it sent 96 grants in one turn of its loop.
test("a coordinator that takes over sends few grants and releases at a time, and all of them within two seconds", () => {
    const owners = Array.from({ length: RANGES }, (_, key) => createHolder(`s${key % SERVERS}`));
    const { ranges, ...map } = createStripedMap(owners, 2);
    const moving = ranges.map((range, index) =>
        index % 4 === 0 ? { ...range, previous: [createHolder("before")] } : range
    );
    const settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    const scheduler = new OrderScheduler(
        { ...map, ranges: moving },
        true,
        0,
        settings,
        () => "live",
        SAME_CLOCK,
    );
    const sent = new Set<string>();
    for (let now = 0; now < 2_000; now += STEP_MS) {
        const orders = scheduler.takeDueOrders(now, true, RENEWAL_LIMIT, MOVE_LIMIT);
        for (const kind of ["grant", "release"]) {
            expect(orders.filter(order => order.kind === kind).length).toBeLessThanOrEqual(MOVE_LIMIT);
        }
        orders.forEach(order => {
            sent.add(`${order.kind} ${order.first}`);
            scheduler.complete(order, order.kind === "grant" ? { kind: "done" } : NO_ANSWER, now);
        });
    }
    expect(sent.size).toBe(RANGES);
});

// Guards against releases that are sent twice: a range that callers ask for in vain is listed among the urgent ones and among all.
test("a range that waits for an earlier owner and is asked for gets one release at a time", () => {
    const map = createStripedMap([createHolder("p"), createHolder("q")], 2);
    const ranges = map.ranges.map(range => ({ ...range, previous: [createHolder("before")] }));
    const settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    const scheduler = new OrderScheduler({ ...map, ranges }, true, 0, settings, () => "live", SAME_CLOCK);
    scheduler.renewSoon(1, 0);
    const orders = scheduler.takeDueOrders(0, true, RENEWAL_LIMIT, MOVE_LIMIT);
    expect(orders.map(({ first, kind }) => `${kind} ${first}`)).toEqual(["release 1", "release 0"]);
});
