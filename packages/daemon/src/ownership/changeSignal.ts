import type { Clock, Milliseconds } from "@arbutusdoor/common";
import { Deferred } from "../serving/deferred.js";

/** Lets many wait for the next of a series of changes, each with a timeout of its own. */
export class ChangeSignal {
    private readonly clock: Clock;
    private next = new Deferred<void>();

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Wakes all that wait. */
    notify(): void {
        const { next } = this;
        this.next = new Deferred();
        next.resolve();
    }

    /** Resolves at the next change, or after `timeout`. */
    async wait(timeout: Milliseconds): Promise<void> {
        const late = new Deferred<void>();
        const timer = this.clock.schedule(timeout, () => late.resolve());
        await Promise.race([this.next.promise, late.promise]);
        timer.cancel();
    }
}
