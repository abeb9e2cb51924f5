import type { Logger, Milliseconds, ServiceId } from "@arbutusdoor/common";

/** Late outcomes within this period share one log line. */
const PERIOD_MS = 1_000;
/** Lateness that an event loop under load has. */
const USUAL_LATENESS_MS = 100;

/** Logs outcomes of orders that were learned later than the time limit of the order, since grants count from then. */
export class LateOrderLog {
    private readonly service: ServiceId;
    private readonly logger: Logger;
    private begunAt: Milliseconds | undefined;
    private orders = 0;
    private longestMs: Milliseconds = 0;

    constructor(service: ServiceId, logger: Logger) {
        this.service = service;
        this.logger = logger;
    }

    /** Records an order that took `duration` and had a time limit. */
    record(duration: Milliseconds, limit: Milliseconds, now: Milliseconds): void {
        if (duration - limit > USUAL_LATENESS_MS) {
            this.begunAt ??= now;
            this.orders++;
            this.longestMs = Math.max(this.longestMs, duration - limit);
        }
        if (this.begunAt !== undefined && now - this.begunAt >= PERIOD_MS) {
            const { longestMs, orders, service } = this;
            this.logger.log("keyOrdersLate", { service, orders, longestMs: Math.round(longestMs) });
            this.begunAt = undefined;
            this.orders = 0;
            this.longestMs = 0;
        }
    }
}
