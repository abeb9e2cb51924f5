import type { Clock, Metrics, Milliseconds, RefusalReason } from "@arbutusdoor/common";
import type { ServingPort } from "../serving/servingPort.js";

/** Refusals whose cause a change of ownership is expected to remove soon. */
const TRANSIENT_REASONS: ReadonlySet<RefusalReason> = new Set([
    "noConfiguration",
    "noOwner",
    "ownerMoving",
    "ownerUnreachable",
    "staleOwner",
    "stopping",
    "relayUnreachable",
    "relayNotReceived",
]);
const RECHECK_INTERVAL_MS = 25;

/** Lets a bounded number of requests wait a bounded time until their key has a reachable owner again. */
export class OwnerWait {
    private readonly clock: Clock;
    private readonly metrics: Metrics;
    private readonly serving: ServingPort;
    private readonly limit: number;
    private readonly maxWait: Milliseconds;
    private waiting = 0;

    /**
     * @param limit maximum number of waiting requests
     * @param maxWait longest total wait of one request
     */
    constructor(clock: Clock, metrics: Metrics, serving: ServingPort, limit: number, maxWait: Milliseconds) {
        this.clock = clock;
        this.metrics = metrics;
        this.serving = serving;
        this.limit = limit;
        this.maxWait = maxWait;
    }

    /** Waits for a change of ownership; resolves to false when waiting cannot help or is no longer allowed. */
    async waitForOwner(
        reason: RefusalReason,
        beganAt: Milliseconds,
        deadlineAt: Milliseconds,
    ): Promise<boolean> {
        const now = this.clock.now();
        const until = Math.min(beganAt + this.maxWait, deadlineAt);
        if (!TRANSIENT_REASONS.has(reason) || now >= until) {
            return false;
        }
        if (this.waiting >= this.limit) {
            this.metrics.count("arbutusdoor_owner_wait_overflow_total");
            return false;
        }
        this.waiting++;
        await this.serving.waitForChange(Math.min(RECHECK_INTERVAL_MS, until - now));
        this.waiting--;
        return true;
    }
}
