import { Clock, type Milliseconds, type Timer } from "@arbutusdoor/common";

/** The clock of one host whose process may stand still: what becomes due meanwhile runs when it goes on. */
export class HostClock extends Clock {
    private readonly clock: Clock;
    private pausedUntil: Milliseconds = -Infinity;

    constructor(clock: Clock) {
        super();
        this.clock = clock;
    }

    /** Whether the process stands still now. */
    get isPaused(): boolean {
        return this.clock.now() < this.pausedUntil;
    }

    /** Lets the process stand still for a while. */
    pause(duration: Milliseconds): void {
        this.pausedUntil = Math.max(this.pausedUntil, this.clock.now() + duration);
    }

    override now(): Milliseconds {
        return this.clock.now();
    }

    override wallTime(): Milliseconds {
        return this.clock.wallTime();
    }

    override schedule(delay: Milliseconds, action: () => void): Timer {
        let timer = this.clock.schedule(delay, () => run());
        const run = () => {
            if (this.isPaused) {
                timer = this.clock.schedule(this.pausedUntil - this.clock.now(), run);
            }
            else {
                action();
            }
        };
        return { cancel: () => timer.cancel() };
    }

    /** Resolves when the process runs. */
    async resume(): Promise<void> {
        while (this.isPaused) {
            await this.clock.sleep(this.pausedUntil - this.clock.now());
        }
    }
}
