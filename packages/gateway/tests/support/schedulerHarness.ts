import type { Milliseconds } from "@arbutusdoor/common";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { OrderScheduler } from "../../src/ownership/orderScheduler.js";
import { createHolder } from "./createHolder.js";

const HOLD_MS = 9_000;
const STEP_MS = 20;
const ORDER_LIMIT = 16;
const DONE: OrderOutcome = { kind: "done", handover: undefined };

/** A grant as it was sent. */
type SentGrant = { readonly at: Milliseconds; readonly order: KeyOrder; };

/** A range keeper on a manual clock. The server `s` never answers; all others do at once. */
export class SchedulerHarness {
    readonly settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
    readonly keeper: OrderScheduler;
    private readonly grants: SentGrant[] = [];
    private open: readonly { readonly order: KeyOrder; readonly endsAt: Milliseconds; }[] = [];
    private now: Milliseconds = 0;

    constructor(map: KeyMap, isInherited: boolean) {
        this.keeper = new OrderScheduler(map, isInherited, 0, this.settings, () => "live");
    }

    /** Longest time for which a server may hold keys after a grant was sent to it. */
    get expiryMs(): Milliseconds {
        const { clockSlowness, holdMs, expiryMarginMs: lapseMarginMs, orderTimeoutMs } = this.settings;
        return orderTimeoutMs + holdMs * (1 + clockSlowness) + lapseMarginMs;
    }

    /** The coordinator before is known to have ended. */
    endPredecessor(): void {
        this.keeper.limitPredecessorTime(this.now);
    }

    /** Commits a move of keys. */
    move(first: number, last: number, to: string): void {
        const { keeper } = this;
        keeper.commit(keeper.propose(keeper.map.term, [{ first, last, owner: createHolder(to) }], this.now));
    }

    /** Lets time pass and carries the orders out. */
    run(duration: Milliseconds): void {
        for (const end = this.now + duration; this.now < end; this.now += STEP_MS) {
            for (const order of this.keeper.takeDueOrders(this.now, true, ORDER_LIMIT)) {
                this.send(order);
            }
            const ended = this.open.filter(({ endsAt }) => endsAt <= this.now);
            this.open = this.open.filter(item => !ended.includes(item));
            ended.forEach(({ order }) =>
                this.keeper.complete(order, { kind: "unknown", reason: "no answer" }, this.now)
            );
        }
    }

    /** When a key was first granted to a server; infinite when it was not. */
    findGrantTime(key: number, id: string): Milliseconds {
        const grant = this.grants.find(({ order }) =>
            order.first <= key && key <= order.last && order.holder.id === id
        );
        return grant?.at ?? Infinity;
    }

    /** When a key was last granted to a server; minus infinity when it was not. */
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
            this.keeper.complete(order, DONE, this.now);
        }
    }
}
