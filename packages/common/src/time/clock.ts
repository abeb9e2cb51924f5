import type { Milliseconds } from "./milliseconds.js";
import type { Timer } from "./timer.js";

/** Source of time and timers. All code that waits or measures time uses a Clock, so that tests can control it. */
export abstract class Clock {
    /** Returns monotonic time since an arbitrary start. */
    abstract now(): Milliseconds;

    /** Returns wall-clock time since 1970-01-01 UTC, for records that people read. It may jump. */
    abstract wallTime(): Milliseconds;

    /** Runs `action` once, no earlier than `delay` from now. */
    abstract schedule(delay: Milliseconds, action: () => void): Timer;

    /** Resolves no earlier than `delay` from now. */
    sleep(delay: Milliseconds): Promise<void> {
        return new Promise(resolve => {
            this.schedule(delay, resolve);
        });
    }
}
