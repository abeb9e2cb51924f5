import { Clock } from "./clock.js";
import type { Milliseconds } from "./milliseconds.js";
import type { Timer } from "./timer.js";

/** The clock of the machine: monotonic time from the runtime, wall time from the operating system. */
export class SystemClock extends Clock {
    override now(): Milliseconds {
        return performance.now();
    }

    override wallTime(): Milliseconds {
        return Date.now();
    }

    override schedule(delay: Milliseconds, action: () => void): Timer {
        const handle = setTimeout(action, Math.max(0, delay));
        return { cancel: () => clearTimeout(handle) };
    }
}
