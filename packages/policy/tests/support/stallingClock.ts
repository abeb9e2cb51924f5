import { ManualClock, type Milliseconds } from "@arbutusdoor/common";

/** A clock of a process that can stall: time passes, and timers that are due meanwhile run late. */
export class StallingClock extends ManualClock {
    private stalled: Milliseconds = 0;

    override now(): Milliseconds {
        return super.now() + this.stalled;
    }

    stall(duration: Milliseconds): void {
        this.stalled += duration;
    }
}
