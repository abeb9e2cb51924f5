import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { Deferred } from "../serving/deferred.js";

/** Lets any number of callers wait for the next change, each with its own timeout. */
export class ChangeSignal {
    private readonly clock: Clock;
    private next = new Deferred<void>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Wakes all waiting callers. */
    notify(): void {
        const { next } = this;
        this.next = new Deferred();
        next.resolve();
    }

    /** Resolves at the next change, or after `timeout`. */
    async wait(timeout: Milliseconds): Promise<void> {
        const timedOut = new Deferred<void>();
        const timer = this.clock.schedule(timeout, () => timedOut.resolve());
        await Promise.race([this.next.promise, timedOut.promise]);
        timer.cancel();
    }
}
