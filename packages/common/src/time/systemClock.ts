import { Clock } from "./clock.js";
import type { Milliseconds } from "./milliseconds.js";
import type { Timer } from "./timer.js";

/** Longest delay of the runtime's timers; they fire at once after a longer one. */
const MAX_DELAY_MS = 2_147_483_647;

/** The clock of the machine: monotonic time from the runtime, wall time from the operating system. */
export class SystemClock extends Clock {
    override now(): Milliseconds {
        return performance.now();
    }

    override wallTime(): Milliseconds {
        return Date.now();
    }

    /** Schedules an action; a delay above 24.8 days is cut to that. */
    override schedule(delay: Milliseconds, action: () => void): Timer {
        const handle = setTimeout(action, Math.min(MAX_DELAY_MS, Math.max(0, delay)));
        return { cancel: () => clearTimeout(handle) };
    }
}
