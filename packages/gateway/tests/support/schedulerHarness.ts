import type { Milliseconds } from "@arbutusdoor/common";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import { createHolder } from "./createHolder.js";
import { SAME_CLOCK } from "./sameClock.js";

const HOLD_MS = 9_000;
const STEP_MS = 20;
const ORDER_LIMIT = 16;
const DONE: OrderOutcome = { kind: "done", handover: undefined };

/** A grant that was sent. */
type SentGrant = { readonly at: Milliseconds; readonly order: KeyOrder; };

/** An order scheduler on a manual clock. The server `s` never answers; all others answer at once. */
export class SchedulerHarness {
    readonly settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    readonly scheduler: OrderScheduler;
    private readonly grants: SentGrant[] = [];
    private open: readonly { readonly order: KeyOrder; readonly endsAt: Milliseconds; }[] = [];
    private now: Milliseconds = 0;

    constructor(map: KeyMap, isInherited: boolean) {
        this.scheduler = new OrderScheduler(map, isInherited, 0, this.settings, () => "live", SAME_CLOCK);
    }

    /** Longest time for which a server may hold keys after a grant was sent to it. */
    get expiryMs(): Milliseconds {
        const { clockSlowness, holdMs, expiryMarginMs, orderTimeoutMs } = this.settings;
        return orderTimeoutMs + holdMs * (1 + clockSlowness) + expiryMarginMs;
    }

    /** Records that the predecessor has ended. */
    endPredecessor(): void {
        this.scheduler.limitPredecessorTime(this.now);
    }

    /** Commits a move of keys. */
    move(first: number, last: number, to: string): void {
        const { scheduler } = this;
        scheduler.commit(
            scheduler.propose(scheduler.map.term, [{ first, last, owner: createHolder(to) }], this.now),
        );
    }

    /** Advances time and carries out the orders. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            for (const order of this.scheduler.takeDueOrders(this.now, true, ORDER_LIMIT)) {
                this.send(order);
            }
            const ended = this.open.filter(({ endsAt }) => endsAt <= this.now);
            this.open = this.open.filter(item => !ended.includes(item));
            ended.forEach(({ order }) =>
                this.scheduler.complete(order, { kind: "unknown", reason: "no answer" }, this.now)
            );
        }
    }

    /** Returns when a key was first granted to a server; Infinity when it never was. */
    findGrantTime(key: number, id: string): Milliseconds {
        const grant = this.grants.find(({ order }) =>
            order.first <= key && key <= order.last && order.holder.id === id
        );
        return grant?.at ?? Infinity;
    }

    /** Returns when a key was last granted to a server; -Infinity when it never was. */
    findLastGrantTime(key: number, id: string): Milliseconds {
        const grant = this.grants.findLast(({ order }) =>
            order.first <= key && key <= order.last && order.holder.id === id
        );
        return grant?.at ?? -Infinity;
    }

    private send(order: KeyOrder): void {
        if (order.kind === "grant") {
            this.grants.push({ at: this.now, order });
        }
        if (order.holder.id === "s") {
            this.open = [...this.open, { order, endsAt: this.now + this.settings.orderTimeoutMs }];
        }
        else {
            this.scheduler.complete(order, DONE, this.now);
        }
    }
}
