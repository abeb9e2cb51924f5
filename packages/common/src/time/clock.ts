import type { Milliseconds } from "./milliseconds.js";
import type { Timer } from "./timer.js";

/** Source of time. Everything that waits or measures takes one of these, so that tests run on their own time. */
export abstract class Clock {
    /** Monotonic time since an arbitrary start; never goes back. */
    abstract now(): Milliseconds;

    /** Wall-clock time since 1970-01-01 UTC, for records that people read; may jump. */
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
