import { Clock } from "./clock.js";
import type { Milliseconds } from "./milliseconds.js";
import type { Timer } from "./timer.js";

type PendingAction = {
    readonly due: Milliseconds;
    readonly order: number;
    readonly action: () => void;
};

/** A clock that advances only on request, for tests and simulations. Actions due at the same time run in the order of their scheduling. */
export class ManualClock extends Clock {
    private time: Milliseconds;
    private counter = 0;
    private pending: PendingAction[] = [];

    constructor(start: Milliseconds = 0) {
        super();
        this.time = start;
    }

    override now(): Milliseconds {
        return this.time;
    }

    override wallTime(): Milliseconds {
        return this.time;
    }

    override schedule(delay: Milliseconds, action: () => void): Timer {
        const entry = { due: this.time + Math.max(0, delay), order: this.counter++, action };
        this.insert(entry);
        return {
            cancel: () => {
                this.pending = this.pending.filter(other => other !== entry);
            },
        };
    }

    /** Returns the time of the next pending action, or `undefined` when none is pending. */
    nextDue(): Milliseconds | undefined {
        return this.pending[0]?.due;
    }

    /** Advances the clock to `time` and runs each action that becomes due, at its own time. */
    advanceTo(time: Milliseconds): void {
        for (let next = this.pending[0]; next && next.due <= time; next = this.pending[0]) {
            this.pending.shift();
            this.time = Math.max(this.time, next.due);
            next.action();
        }
        this.time = Math.max(this.time, time);
    }

    /** Advances the clock by `duration`. */
    advance(duration: Milliseconds): void {
        this.advanceTo(this.time + duration);
    }

    private insert(entry: PendingAction): void {
        let low = 0;
        let high = this.pending.length;
        while (low < high) {
            const middle = (low + high) >> 1;
            const other = this.pending[middle]!;
            const isBefore = other.due < entry.due || (other.due === entry.due && other.order < entry.order);
            if (isBefore) {
                low = middle + 1;
            }
            else {
                high = middle;
            }
        }
        this.pending.splice(low, 0, entry);
    }
}
