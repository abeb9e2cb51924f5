import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import { getHolderName } from "./getHolderName.js";
import type { KeyOrder } from "./keyOrder.js";

/** Far more than a service has servers. Beyond it the oldest outage is forgotten and starts again with the next unanswered order. */
const MAX_OUTAGES = 1_024;

/** A period in which a server's orders had no answer. */
type Outage = { readonly since: Milliseconds; orders: number; };

/**
 * Logs refused orders, and orders without an answer, which may still be carried out: the first of an outage, and their number when the
 * outage ends.
 */
export class OrderLog {
    private readonly service: ServiceId;
    private readonly logger: Logger;
    private readonly outages = new Map<string, Outage>();

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** Records the outcome of an order that was sent at `sentAt`. */
    recordOutcome(order: KeyOrder, outcome: OrderOutcome, sentAt: Milliseconds, now: Milliseconds): void {
        const name = getHolderName(order.holder);
        const outage = this.outages.get(name);
        if (outcome.kind === "unknown" || outcome.kind === "unsent") {
            if (!outage) {
                this.begin(name, order, outcome.reason, sentAt, now);
            }
            else if (outcome.kind === "unknown") {
                outage.orders++;
            }
        }
        else if (outage && outcome.kind !== "notConnected") {
            this.outages.delete(name);
            this.logger.log("keyOrdersEnded", {
                service: this.service,
                server: order.holder.id,
                orders: outage.orders,
                spellMs: Math.round(now - outage.since),
                outcome: outcome.kind,
            });
        }
    }

    /** Logs that a server refused an order. */
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
        this.outages.set(name, { since: sentAt, orders: 1 });
        if (this.outages.size > MAX_OUTAGES) {
            this.outages.delete(this.outages.keys().next().value!);
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
