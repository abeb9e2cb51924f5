import type { CallerLog } from "./callerLog.js";

const QUANTILES = [0.5, 0.9, 0.99] as const;

/** Outcomes and latencies (ms) of one kind of request. */
type KindSummary = {
    readonly attempts: number;
    readonly outcomes: Readonly<Record<string, number>>;
    readonly latencyMs: Readonly<Record<string, number>>;
};

/** Counts of a callers' log by kind of request. */
export function getSummary(
    log: CallerLog,
): { readonly skipped: number; } & Record<string, number | KindSummary> {
    const summary: { skipped: number; } & Record<string, number | KindSummary> = { skipped: log.skipped };
    for (const kind of ["read", "once", "upload"] as const) {
        const entries = log.entries.filter(entry => entry.kind === kind);
        const outcomes: Record<string, number> = {};
        for (const { outcome, reason, isOwn } of entries) {
            const name = outcome === "answered" && !isOwn ? "answeredWrongly" : outcome;
            const label = reason ? `${name} (${reason})` : name;
            outcomes[label] = (outcomes[label] ?? 0) + 1;
        }
        const latencies = entries.map(entry => entry.endedAt - entry.sentAt).sort((left, right) =>
            left - right
        );
        summary[kind] = { attempts: entries.length, outcomes, latencyMs: getQuantiles(latencies) };
    }
    return summary;
}

function getQuantiles(sorted: readonly number[]): Record<string, number> {
    const quantiles: Record<string, number> = {};
    for (const quantile of QUANTILES) {
        const value = sorted[Math.min(sorted.length - 1, Math.floor(quantile * sorted.length))];
        if (value !== undefined) {
            quantiles[quantile] = value;
        }
    }
    return quantiles;
}
