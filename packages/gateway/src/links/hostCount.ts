import type { Clock, Milliseconds } from "@arbutusdoor/common";

/** A lower count applies after this time: a new coordinator counts from one, and partitioned hosts continue to serve. */
const RETENTION_MS = 60_000;
/** The same for limits that must hold over all hosts during a long partition. */
const LASTING_RETENTION_MS = 600_000;
/** A host that has just linked to a new coordinator gets counts of the few hosts that have linked before it. */
const SETTLE_MS = 3_000;

/** The number of hosts: the highest recent count of a coordinator. */
export class HostCount {
    private readonly clock: Clock;
    private firstAt: Milliseconds | undefined;
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
        this.firstAt ??= this.clock.now();
        while (this.counts.length > 1 && this.counts[0]!.at < this.clock.now() - LASTING_RETENTION_MS) {
            this.counts.shift();
        }
    }

    /** The highest recent count; `undefined` before the first. */
    get recentMax(): number | undefined {
        return this.getMax(RETENTION_MS);
    }

    /** The highest count of the last minutes; `undefined` before the first, and until the hosts have had time to be counted. */
    get lastingMax(): number | undefined {
        const isSettled = this.firstAt !== undefined && this.clock.now() - this.firstAt >= SETTLE_MS;
        return isSettled ? this.getMax(LASTING_RETENTION_MS) : undefined;
    }

    private getMax(retention: Milliseconds): number | undefined {
        const since = this.clock.now() - retention;
        return (this.counts.find(({ at }) => at >= since) ?? this.counts.at(-1))?.hosts;
    }
}
