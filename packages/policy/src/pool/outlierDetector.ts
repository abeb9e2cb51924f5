import type { Milliseconds } from "@arbutusdoor/common";
import type { AttemptResult } from "./attemptResult.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";
import type { ServerStats } from "./serverStats.js";

/** Tolerance when comparing the start of a request with its end minus its duration. */
const CLOCK_ROUNDING_MS = 0.5;

/**
 * Decides by this host's observations alone which servers of a pool are ejected: those that stall, fail or answer far
 * slower than the others. An ejected server is probed with one request at a time, after growing pauses; the first answer
 * of normal latency ends its ejection.
 */
export class OutlierDetector {
    private readonly settings: PoolPickerSettings;
    private medianMs: Milliseconds | undefined;
    private usualFailures = 0;
    private reviewedAt = -Infinity;

    constructor(settings: PoolPickerSettings) {
        this.settings = settings;
    }

    /** Median latency of the pool; `undefined` before two servers have answered. */
    get medianLatencyMs(): Milliseconds | undefined {
        return this.medianMs;
    }

    /** Time without an answer after which a server with outstanding requests counts as stalled. */
    get stallLimitMs(): Milliseconds {
        const { stallMs, stallFactor } = this.settings;
        return Math.max(stallMs, stallFactor * (this.medianMs ?? 0));
    }

    /** Evaluates all servers of the pool, at most once in the review interval. */
    review(servers: readonly ServerStats[], now: Milliseconds): void {
        if (now - this.reviewedAt < this.settings.reviewIntervalMs) {
            return;
        }
        this.reviewedAt = now;
        this.medianMs = getMedian(servers.flatMap(({ latencyMs }) => latencyMs ?? []));
        this.usualFailures = getMedian(servers.map(({ failures }) => failures)) ?? 0;
        const allowed = Math.floor(servers.length * this.settings.maxEjectedShare);
        let ejected = servers.filter(server => server.ejectedUntil !== undefined).length;
        for (const server of servers) {
            if (ejected < allowed && server.ejectedUntil === undefined && this.isOutlier(server, now)) {
                this.eject(server, now);
                ejected++;
            }
        }
    }

    /** Whether the server may get ordinary requests. */
    isAvailable(server: ServerStats, now: Milliseconds): boolean {
        return server.ejectedUntil === undefined && now >= server.pausedUntil;
    }

    /**
     * Whether an ejected server is due for a probe with a request.
     *
     * @param isIdempotent whether an unknown outcome of the request is harmless; others probe only when long overdue
     */
    isProbeDue(server: ServerStats, isIdempotent: boolean, now: Milliseconds): boolean {
        if (server.ejectedUntil === undefined || server.probeStartedAt !== undefined) {
            return false;
        }
        return now >= server.ejectedUntil + (isIdempotent ? 0 : this.settings.maxEjectionMs);
    }

    /** Records how a request ended: an answer of normal latency to a probe ends the ejection, any other result extends it. */
    recordResult(server: ServerStats, result: AttemptResult, now: Milliseconds): void {
        const isOfProbe = server.probeStartedAt !== undefined
            && now - result.durationMs >= server.probeStartedAt - CLOCK_ROUNDING_MS;
        if (server.ejectedUntil === undefined || !isOfProbe) {
            return;
        }
        server.probeStartedAt = undefined;
        if (result.kind === "answered" && !this.isSlow(result.durationMs)) {
            this.restore(server, result.durationMs);
        }
        else {
            this.eject(server, now);
        }
    }

    private restore(server: ServerStats, latency: Milliseconds): void {
        server.ejectedUntil = undefined;
        server.latencyMs = latency;
        server.answers = 1;
        server.failures = 0;
        server.credit = 1;
    }

    private eject(server: ServerStats, now: Milliseconds): void {
        const { ejectionMs, maxEjectionMs } = this.settings;
        server.ejectedUntil = now + Math.min(maxEjectionMs, ejectionMs * 2 ** server.ejections);
        server.ejections++;
    }

    private isOutlier(server: ServerStats, now: Milliseconds): boolean {
        const { maxFailures, minSamples } = this.settings;
        if (server.failures >= maxFailures + 2 * this.usualFailures || this.isStalled(server, now)) {
            return true;
        }
        const hasSamples = server.answers >= minSamples && server.latencyMs !== undefined;
        if (hasSamples && !this.isSlow(server.latencyMs ?? 0)) {
            server.ejections = 0;
        }
        return hasSamples && this.isSlow(server.latencyMs ?? 0);
    }

    private isStalled(server: ServerStats, now: Milliseconds): boolean {
        return server.outstanding > 0 && now - server.progressAt > this.stallLimitMs;
    }

    private isSlow(latency: Milliseconds): boolean {
        return this.medianMs !== undefined && latency > this.settings.slowFactor * this.medianMs;
    }
}

/** Returns the lower median, or `undefined` for fewer than two values. */
function getMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted.length < 2 ? undefined : sorted[(sorted.length - 1) >> 1];
}
