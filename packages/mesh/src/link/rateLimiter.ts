import type { Clock, Milliseconds } from "@arbutusdoor/common";

const SECOND_MS = 1_000;

/** Allows a number of events per second. */
export class RateLimiter {
    private readonly clock: Clock;
    private readonly perSecond: number;
    private startedAt: Milliseconds;
    private count = 0;

    constructor(clock: Clock, perSecond: number) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.startedAt = clock.now();
    }

    /** Counts an event. Returns false when the limit of the current second is exceeded. */
    tryAcquire(): boolean {
        const now = this.clock.now();
        if (now - this.startedAt >= SECOND_MS) {
            this.startedAt = now;
            this.count = 0;
        }
        this.count++;
        return this.count <= this.perSecond;
    }
}
