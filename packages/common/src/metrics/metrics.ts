import { build, type Histogram } from "hdr-histogram-js";

const HIGHEST_VALUE = 3_600_000_000;
const SIGNIFICANT_DIGITS = 2;
const MAX_SERIES = 4_096;
const QUANTILES = [0.5, 0.9, 0.99, 0.999] as const;

/** Labels of a series, for example tenant, service and class. */
type Labels = Readonly<Record<string, string>>;

/**
 * Histograms and counters of one process, each a bounded set of labelled series.
 * Series beyond the limit are counted in `arbutusdoor_series_dropped_total` and otherwise ignored.
 */
export class Metrics {
    private readonly histograms = new Map<string, { name: string; labels: Labels; histogram: Histogram; }>();
    private readonly counters = new Map<string, { name: string; labels: Labels; value: number; }>();
    private readonly gauges = new Map<string, () => number>();
    private dropped = 0;

    /** Records a value in a histogram, rounded to a whole number; the name states the unit, usually microseconds or bytes. */
    record(name: string, labels: Labels, value: number): void {
        const series = getSeriesName(name, labels);
        let entry = this.histograms.get(series);
        if (!entry) {
            if (this.isFull()) {
                return;
            }
            const histogram = build({
                highestTrackableValue: HIGHEST_VALUE,
                numberOfSignificantValueDigits: SIGNIFICANT_DIGITS,
            });
            entry = { name, labels, histogram };
            this.histograms.set(series, entry);
        }
        entry.histogram.recordValue(Math.min(HIGHEST_VALUE, Math.max(0, Math.round(value))));
    }

    /** Adds to a counter. */
    count(name: string, labels: Labels = {}, amount = 1): void {
        const series = getSeriesName(name, labels);
        let entry = this.counters.get(series);
        if (!entry) {
            if (this.isFull()) {
                return;
            }
            entry = { name, labels, value: 0 };
            this.counters.set(series, entry);
        }
        entry.value += amount;
    }

    /** Registers a value that is read each time the metrics are printed. */
    gauge(name: string, read: () => number): void {
        this.gauges.set(name, read);
    }

    /** Returns the value of a counter, or 0 when nothing was counted. */
    getCount(name: string, labels: Labels = {}): number {
        return this.counters.get(getSeriesName(name, labels))?.value ?? 0;
    }

    /** Returns a quantile of a histogram, or `undefined` when nothing was recorded. */
    getQuantile(name: string, labels: Labels, quantile: number): number | undefined {
        return this.histograms.get(getSeriesName(name, labels))?.histogram.getValueAtPercentile(
            quantile * 100,
        );
    }

    /** Returns all series in the Prometheus text format. */
    print(): string {
        const lines: string[] = [];
        for (const { name, labels, histogram } of this.histograms.values()) {
            for (const quantile of QUANTILES) {
                const value = histogram.getValueAtPercentile(quantile * 100);
                lines.push(`${getSeriesName(name, { ...labels, quantile: String(quantile) })} ${value}`);
            }
            lines.push(`${getSeriesName(`${name}_count`, labels)} ${histogram.totalCount}`);
            lines.push(`${getSeriesName(`${name}_max`, labels)} ${histogram.maxValue}`);
        }
        for (const [series, { value }] of this.counters) {
            lines.push(`${series} ${value}`);
        }
        for (const [name, read] of this.gauges) {
            lines.push(`${name} ${read()}`);
        }
        lines.push(`arbutusdoor_series_dropped_total ${this.dropped}`);
        return lines.sort().join("\n") + "\n";
    }

    private isFull(): boolean {
        const isFull = this.histograms.size + this.counters.size >= MAX_SERIES;
        if (isFull) {
            this.dropped++;
        }
        return isFull;
    }
}

function getSeriesName(name: string, labels: Labels): string {
    const parts = Object.entries(labels).map(([label, value]) =>
        `${label}="${value.replace(/[\\"\n]/g, "_")}"`
    );
    return parts.length === 0 ? name : `${name}{${parts.join(",")}}`;
}
