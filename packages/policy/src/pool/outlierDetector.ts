import type { Milliseconds } from "@arbutusdoor/common";
import type { ObservedServer } from "./observedServer.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";
import type { RequestEnd } from "./requestEnd.js";

/**
 * Decides from observations alone which servers of a pool are left out: those that stall, fail or answer far slower
 * than the others. A left-out server is tried again with one request at a time, after growing pauses, and comes back
 * with the first answer of ordinary latency.
 */
export class OutlierDetector {
    private readonly settings: PoolPickerSettings;
    private medianMs: Milliseconds | undefined;
    private reviewedAt = -Infinity;

    constructor(settings: PoolPickerSettings) {
        this.settings = settings;
    }

    /** Judges all servers of the pool, at most once in the review interval. */
    review(servers: readonly ObservedServer[], now: Milliseconds): void {
        if (now - this.reviewedAt < this.settings.reviewIntervalMs) {
            return;
        }
        this.reviewedAt = now;
        this.medianMs = getMedian(servers);
        const allowed = Math.floor(servers.length * this.settings.maxEjectedShare);
        let ejected = servers.filter(server => server.ejectedUntil !== undefined).length;
        for (const server of servers) {
            if (ejected < allowed && server.ejectedUntil === undefined && this.isOutlier(server, now)) {
                this.eject(server, now);
                ejected++;
            }
        }
    }

    /** Whether a request may go to the server now; a left-out one takes a single request once its time is over. */
    isAvailable(server: ObservedServer, now: Milliseconds): boolean {
        if (server.ejectedUntil === undefined) {
            return now >= server.pausedUntil;
        }
        return now >= server.ejectedUntil && !server.isProbing;
    }

    /** Takes in how a request ended: an ordinary answer brings a left-out server back, anything else keeps it out. */
    recordEnd(server: ObservedServer, end: RequestEnd, now: Milliseconds): void {
        if (server.ejectedUntil === undefined || !server.isProbing) {
            return;
        }
        server.isProbing = false;
        if (end.kind === "answered" && !this.isSlow(end.durationMs)) {
            this.restore(server, end.durationMs);
        }
        else {
            this.eject(server, now);
        }
    }

    private restore(server: ObservedServer, latency: Milliseconds): void {
        server.ejectedUntil = undefined;
        server.latencyMs = latency;
        server.answers = 1;
        server.failures = 0;
        server.credit = 1;
    }

    private eject(server: ObservedServer, now: Milliseconds): void {
        const { ejectionMs, maxEjectionMs } = this.settings;
        server.ejectedUntil = now + Math.min(maxEjectionMs, ejectionMs * 2 ** server.ejections);
        server.ejections++;
    }

    private isOutlier(server: ObservedServer, now: Milliseconds): boolean {
        const { maxFailures, minSamples } = this.settings;
        if (server.failures >= maxFailures || this.isStalled(server, now)) {
            return true;
        }
        const isJudged = server.answers >= minSamples && server.latencyMs !== undefined;
        if (isJudged && !this.isSlow(server.latencyMs ?? 0)) {
            server.ejections = 0;
        }
        return isJudged && this.isSlow(server.latencyMs ?? 0);
    }

    private isStalled(server: ObservedServer, now: Milliseconds): boolean {
        const { stallMs, stallFactor } = this.settings;
        const limit = Math.max(stallMs, stallFactor * (this.medianMs ?? 0));
        return server.outstanding > 0 && now - server.progressAt > limit;
    }

    private isSlow(latency: Milliseconds): boolean {
        return this.medianMs !== undefined && latency > this.settings.slowFactor * this.medianMs;
    }
}

/** Median latency of the servers that answered; `undefined` when fewer than two did. */
function getMedian(servers: readonly ObservedServer[]): Milliseconds | undefined {
    const latencies = servers.flatMap(({ latencyMs }) => latencyMs ?? []).sort((a, b) => a - b);
    return latencies.length < 2 ? undefined : latencies[(latencies.length - 1) >> 1];
}
