import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** A lower count applies after this time: a new coordinator counts from one, and partitioned hosts continue to serve. */
const RETENTION_MS = 60_000;

/** The number of hosts: the highest recent count of a coordinator. */
export class HostCount {
    private readonly clock: Clock;
    /** Counts in descending order, each with the time at which it was last received. */
    private readonly counts: { readonly hosts: number; readonly at: Milliseconds; }[] = [];

    constructor(clock: Clock) {
        this.clock = clock;
    }

    /** Records a coordinator's count. */
    record(hosts: number): void {
        while (this.counts.length > 0 && this.counts.at(-1)!.hosts <= hosts) {
            this.counts.pop();
        }
        this.counts.push({ hosts, at: this.clock.now() });
    }

    /** The highest recent count; `undefined` before the first. */
    get recentMax(): number | undefined {
        while (this.counts.length > 1 && this.counts[0]!.at < this.clock.now() - RETENTION_MS) {
            this.counts.shift();
        }
        return this.counts[0]?.hosts;
    }
}
