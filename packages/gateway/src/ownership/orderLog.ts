import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyOrder } from "./keyOrder.js";

/** Far more servers than a service has; of others beyond it the spell is begun anew. */
const MAX_SPELLS = 1_024;

/** Time in which a server's orders had no answer. */
type Spell = { readonly since: Milliseconds; orders: number; };

/**
 * Tells of orders that were refused, and of those that may be carried out although they were given up: of these the first of a spell,
 * and their number when it ends.
 */
export class OrderLog {
    private readonly service: ServiceId;
    private readonly logger: Logger;
    private readonly spells = new Map<string, Spell>();

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** Takes the outcome of an order in that was sent at a time. */
    recordOutcome(order: KeyOrder, outcome: OrderOutcome, sentAt: Milliseconds, now: Milliseconds): void {
        const name = getHolderName(order.holder);
        const spell = this.spells.get(name);
        if (outcome.kind === "unknown") {
            if (spell) {
                spell.orders++;
            }
            else {
                this.begin(name, order, outcome.reason, sentAt, now);
            }
        }
        else if (spell && outcome.kind !== "notListening") {
            this.spells.delete(name);
            this.logger.log("keyOrdersEnded", {
                service: this.service,
                server: order.holder.id,
                orders: spell.orders,
                spellMs: Math.round(now - spell.since),
                outcome: outcome.kind,
            });
        }
    }

    /** Takes in that a server refused an order. */
    recordRefusal(order: KeyOrder, outcome: string): void {
        this.logger.log("keyOrderFailed", {
            service: this.service,
            order: order.kind,
            outcome,
            server: order.holder.id,
            first: order.first,
            fence: order.fence,
        });
    }

    private begin(
        name: string,
        order: KeyOrder,
        reason: string,
        sentAt: Milliseconds,
        now: Milliseconds,
    ): void {
        this.spells.set(name, { since: sentAt, orders: 1 });
        if (this.spells.size > MAX_SPELLS) {
            this.spells.delete(this.spells.keys().next().value!);
        }
        this.logger.log("keyOrderUnanswered", {
            service: this.service,
            order: order.kind,
            server: order.holder.id,
            first: order.first,
            fence: order.fence,
            reason,
            ageMs: Math.round(now - sentAt),
        });
    }
}
