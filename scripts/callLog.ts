import { build, type Histogram } from "hdr-histogram-js";

const MICROSECONDS_PER_MS = 1_000;

/** Counts what callers saw, by class: outcomes, and quantiles of latency. */
export class CallLog {
    private readonly outcomes = new Map<string, Map<string, number>>();
    private readonly latencies = new Map<string, Histogram>();

    /** Records one call. */
    record(name: string, outcome: string, milliseconds: number): void {
        const counts = this.outcomes.get(name) ?? new Map<string, number>();
        counts.set(outcome, (counts.get(outcome) ?? 0) + 1);
        this.outcomes.set(name, counts);
        const histogram = this.latencies.get(name) ?? build();
        histogram.recordValue(Math.round(milliseconds * MICROSECONDS_PER_MS));
        this.latencies.set(name, histogram);
    }

    /** A line for each class. */
    print(): string[] {
        return [...this.outcomes].map(([name, counts]) => {
            const outcomes = [...counts].map(([outcome, count]) => `${outcome} ${count}`).join(", ");
            const histogram = this.latencies.get(name)!;
            const [p50, p99] = [50, 99].map(percentile =>
                (histogram.getValueAtPercentile(percentile) / MICROSECONDS_PER_MS).toFixed(1)
            );
            return `  ${name.padEnd(22)} ${outcomes.padEnd(28)} p50 ${p50} ms, p99 ${p99} ms`;
        });
    }
}
