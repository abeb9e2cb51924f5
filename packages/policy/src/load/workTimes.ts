import type { Milliseconds } from "@arbutusdoor/common";

/** Number of newest work times that count. */
const CAPACITY = 64;
/**
 * Queueing only ever makes an answer later, so that a low quantile changes little when a server becomes busy. Lower ones depend on single
 * answers.
 */
const LOW_QUANTILE = 0.25;

/** The newest work times of one server. */
export class WorkTimes {
    private readonly times: Milliseconds[] = [];
    private next = 0;
    private total: Milliseconds = 0;
    private quantile: Milliseconds | undefined;

    /** Number of work times that are known. */
    get count(): number {
        return this.times.length;
    }

    /** Mean of the known work times; there has to be one. */
    get mean(): Milliseconds {
        return this.total / this.times.length;
    }

    /** Low quantile of the known work times; there has to be one. */
    get low(): Milliseconds {
        this.quantile ??= [...this.times]
            .sort((one, other) => one - other)[Math.floor(this.times.length * LOW_QUANTILE)]!;
        return this.quantile;
    }

    /** Adds a work time, or the answer time where work and queueing cannot be told apart. */
    add(time: Milliseconds): void {
        this.total += time - (this.times[this.next] ?? 0);
        this.times[this.next] = time;
        this.next = (this.next + 1) % CAPACITY;
        this.quantile = undefined;
    }
}
