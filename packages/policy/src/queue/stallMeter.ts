import type { Clock, Milliseconds, Timer } from "@arbutusdoor/common";

/** How often the loop is checked; the scheduling quantum of a busy machine is of this order. */
const CHECK_MS = 20;

/** Adds up the time for which this process's own loop stood still, so that it is not taken for the slowness of a server. */
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

    /** Time in ms for which the loop has stood still up to now, a stall that is just ending included. */
    getTotal(): Milliseconds {
        return this.past + this.getOverdue();
    }

    /** Ends the checks. */
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
