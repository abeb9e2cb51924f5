import { Clock, type Milliseconds, type Timer } from "@arbutusdoor/common";

/** A server's own clock: apart from other clocks by an offset, and able to stand still. */
export class PausableClock extends Clock {
    private readonly base: Clock;
    private offset: Milliseconds;
    private stoppedAt: Milliseconds | undefined;

    constructor(base: Clock, offset: Milliseconds) {
        super();
        this.base = base;
        this.offset = offset;
    }

    override now(): Milliseconds {
        return this.stoppedAt ?? this.base.now() + this.offset;
    }

    override wallTime(): Milliseconds {
        return this.base.wallTime();
    }

    override schedule(delay: Milliseconds, action: () => void): Timer {
        return this.base.schedule(delay, action);
    }

    /** Stands still from now on. */
    stop(): void {
        this.stoppedAt ??= this.now();
    }

    /** Goes on from the reading at which it stood still. */
    resume(): void {
        if (this.stoppedAt !== undefined) {
            this.offset = this.stoppedAt - this.base.now();
            this.stoppedAt = undefined;
        }
    }
}
