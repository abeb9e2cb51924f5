import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** An offset counts for one to two periods, so that the estimate follows a drift between the clocks. */
const PERIOD_MS = 30_000;

/**
 * Estimates the store's monotonic clock from the times that its answers state. The answer with the least delay counts: one that was sent,
 * forwarded or read late does not make its contents look newer than they are.
 */
export class StoreClock {
    private readonly clock: Clock;
    /** Smallest difference between this host's clock and the store's in the current and in the previous period. */
    private offset = Infinity;
    private previousOffset = Infinity;
    private periodEnd = -Infinity;

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** The store's time, or `undefined` before the first answer. Behind the true one by the shortest delay of an answer. */
    get now(): Milliseconds | undefined {
        const offset = Math.min(this.offset, this.previousOffset);
        return offset === Infinity ? undefined : this.clock.now() - offset;
    }

    /** Records the time that an answer states, when the answer is read. */
    record(storeTime: Milliseconds): void {
        const now = this.clock.now();
        if (now >= this.periodEnd) {
            this.previousOffset = this.offset;
            this.offset = Infinity;
            this.periodEnd = now + PERIOD_MS;
        }
        this.offset = Math.min(this.offset, now - storeTime);
    }

    /** Forgets all answers: the clock of a restored store may be another one. */
    reset(): void {
        this.offset = Infinity;
        this.previousOffset = Infinity;
        this.periodEnd = -Infinity;
    }

    /** Returns how long ago the store's clock showed a time; `undefined` before the first answer. */
    getAge(storeTime: Milliseconds): Milliseconds | undefined {
        const { now } = this;
        return now === undefined ? undefined : Math.max(0, now - storeTime);
    }
}
