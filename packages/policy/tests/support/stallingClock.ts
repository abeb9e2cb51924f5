import { ManualClock, type Milliseconds } from "@arbutusdoor/common";

/** A clock of a process that can stand still: time passes, and what was due meanwhile runs late. */
export class StallingClock extends ManualClock {
    private stalled: Milliseconds = 0;

    override now(): Milliseconds {
        return super.now() + this.stalled;
    }

    stall(duration: Milliseconds): void {
        this.stalled += duration;
    }
}
