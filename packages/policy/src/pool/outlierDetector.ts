import type { Milliseconds } from "@arbutusdoor/common";
import type { AttemptResult } from "./attemptResult.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";
import type { ServerStats } from "./serverStats.js";

/** Slack in comparing a start with an end less its duration. */
const CLOCK_ROUNDING_MS = 0.5;

/**
 * Decides from observations alone which servers of a pool are left out: those that stall, fail or answer far slower
 * than the others. A left-out server is tried again with one request at a time, after growing pauses, and comes back
 * with the first answer of ordinary latency.
 */
export class OutlierDetector {
    private readonly settings: PoolPickerSettings;
    private medianMs: Milliseconds | undefined;
    private usualFailures = 0;
    private reviewedAt = -Infinity;

    constructor(settings: PoolPickerSettings) {
        this.settings = settings;
    }

    /** Usual latency of the pool; `undefined` before two servers have answered. */
    get medianLatencyMs(): Milliseconds | undefined {
        return this.medianMs;
    }

    /** Time without an answer after which a server with requests counts as stalled. */
    get stallLimitMs(): Milliseconds {
        const { stallMs, stallFactor } = this.settings;
        return Math.max(stallMs, stallFactor * (this.medianMs ?? 0));
    }

    /** Judges all servers of the pool, at most once in the review interval. */
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

    /** Whether a request may go to the server in the ordinary way. */
    isAvailable(server: ServerStats, now: Milliseconds): boolean {
        return server.ejectedUntil === undefined && now >= server.pausedUntil;
    }

    /**
     * Whether a left-out server is due to be tried with a request.
     *
     * @param isIdempotent whether that request may end unknown without harm; others try it only when long overdue
     */
    isProbeDue(server: ServerStats, isIdempotent: boolean, now: Milliseconds): boolean {
        if (server.ejectedUntil === undefined || server.probeStartedAt !== undefined) {
            return false;
        }
        return now >= server.ejectedUntil + (isIdempotent ? 0 : this.settings.maxEjectionMs);
    }

    /** Takes in how a request ended: an ordinary answer brings a left-out server back, anything else keeps it out. */
    recordEnd(server: ServerStats, end: AttemptResult, now: Milliseconds): void {
        const isOfProbe = server.probeStartedAt !== undefined
            && now - end.durationMs >= server.probeStartedAt - CLOCK_ROUNDING_MS;
        if (server.ejectedUntil === undefined || !isOfProbe) {
            return;
        }
        server.probeStartedAt = undefined;
        if (end.kind === "answered" && !this.isSlow(end.durationMs)) {
            this.restore(server, end.durationMs);
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
        const isJudged = server.answers >= minSamples && server.latencyMs !== undefined;
        if (isJudged && !this.isSlow(server.latencyMs ?? 0)) {
            server.ejections = 0;
        }
        return isJudged && this.isSlow(server.latencyMs ?? 0);
    }

    private isStalled(server: ServerStats, now: Milliseconds): boolean {
        return server.outstanding > 0 && now - server.progressAt > this.stallLimitMs;
    }

    private isSlow(latency: Milliseconds): boolean {
        return this.medianMs !== undefined && latency > this.settings.slowFactor * this.medianMs;
    }
}

/** The lower median; `undefined` of fewer than two values. */
function getMedian(values: readonly number[]): number | undefined {
    const sorted = [...values].sort((a, b) => a - b);
    return sorted.length < 2 ? undefined : sorted[(sorted.length - 1) >> 1];
}
