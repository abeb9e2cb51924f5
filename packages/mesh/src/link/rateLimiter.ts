import type { Clock, Milliseconds } from "@arbutusdoor/common";

const SECOND_MS = 1_000;

/** Allows a number of things in each second. */
export class RateLimiter {
    private readonly clock: Clock;
    private readonly perSecond: number;
    private beganAt: Milliseconds;
    private taken = 0;

    constructor(clock: Clock, perSecond: number) {
        this.clock = clock;
        this.perSecond = perSecond;
        this.beganAt = clock.now();
    }

    /** Takes one. False when the second's number is used up. */
    tryAcquire(): boolean {
        const now = this.clock.now();
        if (now - this.beganAt >= SECOND_MS) {
            this.beganAt = now;
            this.taken = 0;
        }
        this.taken++;
        return this.taken <= this.perSecond;
    }
}
