import type { Clock, Milliseconds } from "@arbutusdoor/common";

const SECOND_MS = 1_000;

/** Allows a number of things in each second. */
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

    /** Takes one. False when the second's number is used up. */
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
