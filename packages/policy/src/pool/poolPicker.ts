import type { Milliseconds, RandomSource, ServerId } from "@arbutusdoor/common";
import type { AttemptResult } from "./attemptResult.js";
import { createServerStats } from "./createServerStats.js";
import { OutlierDetector } from "./outlierDetector.js";
import type { PoolCandidate } from "./poolCandidate.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";
import type { ServerStats } from "./serverStats.js";

/**
 * Chooses the server of a pooled request from what this entry host saw itself: requests outstanding, answers, refusals
 * and latency. Figures that servers report are used only by the picker that exists to be compared.
 */
export abstract class PoolPicker {
    protected readonly settings: PoolPickerSettings;
    protected readonly random: RandomSource;
    private readonly detector: OutlierDetector;
    private readonly servers = new Map<ServerId, ServerStats>();
    private now: Milliseconds = 0;

    constructor(settings: PoolPickerSettings, random: RandomSource) {
        this.settings = settings;
        this.random = random;
        this.detector = new OutlierDetector(settings);
    }

    /**
     * A server for a request, or `undefined` when none may take one now.
     *
     * A left-out server whose time is over comes first, to be tried with this one request.
     *
     * @param exclude servers that this request has already been to
     * @param isIdempotent whether the request may be used to try a left-out server
     */
    pick(
        candidates: readonly PoolCandidate[],
        exclude: ReadonlySet<ServerId>,
        now: Milliseconds,
        isIdempotent = true,
    ): ServerId | undefined {
        this.now = now;
        this.prune(candidates);
        const possible = candidates.filter(candidate =>
            !exclude.has(candidate.server) && this.getOutstanding(candidate.server) < candidate.limit
        );
        if (!this.settings.isEjecting) {
            return possible.length === 0 ? undefined : this.choose(possible, now)?.server;
        }
        this.detector.review(candidates.map(({ server }) => this.getStats(server)), now);
        const probed = possible.find(({ server }) =>
            this.detector.isProbeDue(this.getStats(server), isIdempotent, now)
        );
        if (probed) {
            return probed.server;
        }
        const open = possible.filter(({ server }) => this.detector.isAvailable(this.getStats(server), now));
        return open.length === 0 ? undefined : this.choose(open, now)?.server;
    }

    /** Counts a request that is sent to the server that the last call of `pick` gave. */
    recordStart(server: ServerId): void {
        const observed = this.getStats(server);
        if (observed.outstanding === 0) {
            observed.progressAt = this.now;
        }
        observed.outstanding++;
        observed.probeStartedAt = observed.ejectedUntil === undefined ? undefined : this.now;
    }

    /** Takes in how a request ended; `notRun` is a refusal of the server or a connection that failed. */
    recordResult(server: ServerId, end: AttemptResult, now: Milliseconds): void {
        const observed = this.getStats(server);
        observed.outstanding = Math.max(0, observed.outstanding - 1);
        this.detector.recordEnd(observed, end, now);
        if (!end.isWithdrawn) {
            this.recordEnd(observed, end, now);
            this.adaptCredit(observed, end);
        }
    }

    /**
     * Longest time in ms that one attempt of a request may take: an idempotent request gives up a stalled server early
     * enough to try another one, any other stays with its server until the deadline.
     *
     * @param remaining time in ms until the deadline
     */
    getAttemptTimeout(isIdempotent: boolean, remaining: Milliseconds): Milliseconds {
        return isIdempotent ? Math.min(remaining, this.detector.stallLimitMs) : remaining;
    }

    /** Requests that this entry host has at the server. */
    getOutstanding(server: ServerId): number {
        return this.servers.get(server)?.outstanding ?? 0;
    }

    /** Whether the server is left out at present. */
    isEjected(server: ServerId): boolean {
        return this.servers.get(server)?.ejectedUntil !== undefined;
    }

    /** One of the candidates, none of which is left out, paused, excluded or at its limit. */
    protected abstract choose(
        candidates: readonly PoolCandidate[],
        now: Milliseconds,
    ): PoolCandidate | undefined;

    /** Hook for pickers that adapt a server's credit. */
    protected adaptCredit(observed: ServerStats, end: AttemptResult): void {
        void observed;
        void end;
    }

    /** The record of a server. */
    protected getStats(server: ServerId): ServerStats {
        let observed = this.servers.get(server);
        if (!observed) {
            observed = createServerStats(this.now);
            this.servers.set(server, observed);
        }
        return observed;
    }

    /** Expected latency of a server: its own, else the pool's. */
    protected getLatency(server: ServerId): Milliseconds {
        return this.getStats(server).latencyMs ?? this.detector.medianLatencyMs ?? 1;
    }

    /** Two different candidates at random, or the only one twice. */
    protected pickTwo(candidates: readonly PoolCandidate[]): readonly [PoolCandidate, PoolCandidate] {
        const first = this.random.nextInteger(candidates.length);
        if (candidates.length === 1) {
            return [candidates[0]!, candidates[0]!];
        }
        const offset = 1 + this.random.nextInteger(candidates.length - 1);
        return [candidates[first]!, candidates[(first + offset) % candidates.length]!];
    }

    /** The duration of a request that was given up stands for a latency of at least that. */
    private recordEnd(observed: ServerStats, end: AttemptResult, now: Milliseconds): void {
        const { newestWeight, shedPauseMs, maxShedPauseMs } = this.settings;
        const mean = observed.latencyMs ?? end.durationMs;
        const isLatencyKnown = end.kind === "answered" || (end.kind === "unknown" && end.durationMs > mean);
        if (isLatencyKnown) {
            observed.latencyMs = mean + newestWeight * (end.durationMs - mean);
        }
        if (end.kind === "answered") {
            observed.answers++;
            observed.failures = 0;
            observed.sheds = 0;
            observed.progressAt = now;
        }
        else if (end.kind === "notRun") {
            observed.pausedUntil = now + Math.min(maxShedPauseMs, shedPauseMs * 2 ** observed.sheds);
            observed.sheds++;
            observed.progressAt = now;
        }
        else {
            observed.failures++;
        }
    }

    private prune(candidates: readonly PoolCandidate[]): void {
        if (this.servers.size <= this.settings.maxServers) {
            return;
        }
        const kept = new Set(candidates.map(({ server }) => server));
        for (const [server, { outstanding }] of this.servers) {
            if (outstanding === 0 && !kept.has(server)) {
                this.servers.delete(server);
            }
        }
    }
}
