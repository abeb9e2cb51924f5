import type { Clock, Milliseconds } from "@arbutusdoor/common";
import type { SimulatedServer } from "../simulation/simulatedServer.js";

/** Samples how unevenly work is spread: in each interval the most loaded server's work over the mean. */
export class Imbalance {
    readonly samples: number[] = [];
    private readonly clock: Clock;
    private readonly servers: readonly SimulatedServer[];
    private readonly interval: Milliseconds;
    private before: Milliseconds[];
    private isStopped = false;

    constructor(clock: Clock, servers: readonly SimulatedServer[], interval: Milliseconds) {
        this.clock = clock;
        this.servers = servers;
        this.interval = interval;
        this.before = servers.map(({ workDone }) => workDone);
        this.clock.schedule(interval, () => this.sample());
    }

    /** Takes no further samples. */
    stop(): void {
        this.isStopped = true;
    }

    getMean(): number {
        return this.samples.reduce((sum, sample) => sum + sample, 0) / Math.max(1, this.samples.length);
    }

    /** The sample that 99 in 100 don't exceed. */
    getP99(): number {
        const sorted = [...this.samples].sort((a, b) => a - b);
        return sorted[Math.ceil(0.99 * sorted.length) - 1] ?? 0;
    }

    private sample(): void {
        if (this.isStopped) {
            return;
        }
        const done = this.servers.map(({ workDone }, index) => workDone - (this.before[index] ?? 0));
        const mean = done.reduce((sum, work) => sum + work, 0) / done.length;
        if (mean > 0) {
            this.samples.push(Math.max(...done) / mean);
        }
        this.before = this.servers.map(({ workDone }) => workDone);
        this.clock.schedule(this.interval, () => this.sample());
    }
}
