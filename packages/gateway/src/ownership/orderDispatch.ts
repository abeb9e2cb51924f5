import type { Clock, Logger, Metrics, Milliseconds, ServiceId } from "@arbutusdoor/common";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { KeyOrders } from "../orders/keyOrders.js";
import type { OrderOutcome } from "../orders/orderOutcome.js";
import type { KeyOrder } from "./keyOrder.js";
import { LateOrderLog } from "./lateOrderLog.js";
import { OrderLog } from "./orderLog.js";
import type { ServerLiveness } from "./serverLiveness.js";

const MICROSECONDS_PER_MS = 1_000;

/** Dependencies of the order dispatch of one service. */
type DispatchParts = {
    readonly service: ServiceId;
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly orders: KeyOrders;
    readonly directory: ServerDirectory;
    readonly liveness: ServerLiveness;
    readonly settings: { readonly holdMs: Milliseconds; readonly orderTimeoutMs: Milliseconds; };
};

/** Sends orders to the servers that they name, and records what the outcomes say about these servers. */
export class OrderDispatch {
    private readonly parts: DispatchParts;
    private readonly log: OrderLog;
    private readonly lateLog: LateOrderLog;

    constructor(parts: DispatchParts) {
        this.parts = parts;
        this.log = new OrderLog(parts.service, parts.logger);
        this.lateLog = new LateOrderLog(parts.service, parts.logger);
    }

    /**
     * Sends an order and returns its outcome.
     *
     * @param isAwaited whether the outcome still matters when it arrives; if not, `undefined` is returned
     */
    async send(order: KeyOrder, isAwaited: () => boolean): Promise<OrderOutcome | undefined> {
        const { clock, directory, liveness, metrics, orders, service, settings } = this.parts;
        // A release for a replaced incarnation goes to the newest one, which may have received its grants.
        const server = directory.find(order.holder)
            ?? (order.kind === "release" ? directory.findNewest(order.holder.id) : undefined);
        const sentAt = clock.now();
        const outcome: OrderOutcome = !server
            ? { kind: "unknown", reason: "the server's address is not known" }
            : order.kind === "grant"
            ? await orders.grant(server, {
                ...order,
                holdMs: settings.holdMs,
                timeoutMs: settings.orderTimeoutMs,
            })
            : await orders.release(server, order, order.fence);
        const now = clock.now();
        this.log.recordOutcome(order, outcome, sentAt, now);
        if (order.kind === "grant") {
            this.lateLog.record(now - sentAt, settings.orderTimeoutMs, now);
        }
        metrics.record(
            "arbutusdoor_key_order_us",
            { service, order: order.kind },
            (now - sentAt) * MICROSECONDS_PER_MS,
        );
        if (!isAwaited()) {
            return undefined;
        }
        metrics.count("arbutusdoor_key_orders_total", { service, order: order.kind, outcome: outcome.kind });
        liveness.recordOutcome(order.holder, outcome, { server, sentAt, now });
        const notice = outcome.kind === "done" || outcome.kind === "fenced" ? outcome.notice : undefined;
        if (server && notice?.isLeaving) {
            directory.recordAnnouncement(server, "answer");
        }
        if (server && notice?.coldMs !== undefined) {
            directory.recordCold(server, notice.coldMs);
        }
        if (outcome.kind === "fenced" || outcome.kind === "invalid") {
            this.log.recordRefusal(order, outcome.kind);
        }
        return outcome;
    }
}
