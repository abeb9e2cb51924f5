import type { Clock } from "../time/clock.js";
import type { Milliseconds } from "../time/milliseconds.js";

/** Time from the last deadline of a request to the end of the process, in which its answer is still sent out. */
const ANSWER_MARGIN_MS = 100;

/** When a graceful shutdown closes the port for callers and when it ends, and which requests can be served until then. */
export class ShutdownSchedule {
    private readonly clock: Clock;
    private listensUntil = Infinity;
    private endsAt = Infinity;
    private hasBegun = false;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Whether the shutdown has begun. */
    get isStopping(): boolean {
        return this.hasBegun;
    }

    /** Begins the shutdown: the port closes after `listenMs`, and the process ends `finishMs` later. */
    begin(listenMs: Milliseconds, finishMs: Milliseconds): void {
        this.hasBegun = true;
        this.listensUntil = this.clock.now() + listenMs;
        this.endsAt = this.listensUntil + finishMs;
    }

    /**
     * Whether a request with this deadline may be sent to a server. While the load balancer still sends callers here, each may: few last so
     * long that the end of the process meets them. Later ones may only if the process outlasts their deadline.
     */
    canServe(deadlineAt: Milliseconds): boolean {
        return this.clock.now() < this.listensUntil || deadlineAt <= this.endsAt - ANSWER_MARGIN_MS;
    }
}
