import type { Clock, Milliseconds, Timer } from "@arbutusdoor/common";

/** Interval at which the event loop is checked; the scheduling quantum of a busy machine is of this order. */
const CHECK_MS = 20;

/** Adds up the time for which this process's own event loop was stalled, so that it is not attributed to slow servers. */
export class StallMeter {
    private readonly clock: Clock;
    private past: Milliseconds = 0;
    private due: Milliseconds;
    private timer: Timer;

    constructor(clock: Clock) {
        this.clock = clock;
        this.due = clock.now() + CHECK_MS;
        this.timer = this.schedule();
    }

    /** Returns the total time in ms for which the loop was stalled, including a stall that is just ending. */
    getTotal(): Milliseconds {
        return this.past + this.getOverdue();
    }

    /** Stops the checks. */
    stop(): void {
        this.timer.cancel();
    }

    private schedule(): Timer {
        return this.clock.schedule(CHECK_MS, () => {
            this.past += this.getOverdue();
            this.due = this.clock.now() + CHECK_MS;
            this.timer = this.schedule();
        });
    }

    private getOverdue(): Milliseconds {
        return Math.max(0, this.clock.now() - this.due);
    }
}
