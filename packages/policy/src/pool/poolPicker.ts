import type { Milliseconds, RandomSource, ServerId } from "@arbutusdoor/common";
import type { SpillState } from "../spill/spillState.js";
import type { AttemptResult } from "./attemptResult.js";
import { createServerStats } from "./createServerStats.js";
import { OutlierDetector } from "./outlierDetector.js";
import type { PoolCandidate } from "./poolCandidate.js";
import type { PoolChoice } from "./poolChoice.js";
import type { PoolPickerSettings } from "./poolPickerSettings.js";
import type { PoolRequest } from "./poolRequest.js";
import type { ServerStats } from "./serverStats.js";

/**
 * Chooses the server of a pooled request by this host's own observations: outstanding requests, answers, refusals and
 * latency. Only the picker `leastReported`, which exists for comparison, uses the load that servers report.
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
     * Returns a server for a request, or `undefined` when none may get one now.
     *
     * An ejected server that is due for a probe comes first; this one request is the probe.
     *
     * @param exclude servers to which this request has already been sent
     * @param isIdempotent whether an unknown outcome of the request is harmless, so that it may probe an ejected server
     */
    pick(
        candidates: readonly PoolCandidate[],
        exclude: ReadonlySet<ServerId>,
        now: Milliseconds,
        isIdempotent = true,
    ): ServerId | undefined {
        const possible = this.listPossible(candidates, exclude, now);
        const probed = this.findProbe(possible, isIdempotent, now);
        if (probed) {
            return probed.server;
        }
        const open = this.listOpen(possible, now);
        return open.length === 0 ? undefined : this.choose(open, now)?.server;
    }

    /** Like `pick`, for pickers that also take the request into account; says why the server was chosen. */
    pickFor(
        request: PoolRequest,
        candidates: readonly PoolCandidate[],
        exclude: ReadonlySet<ServerId>,
        now: Milliseconds,
    ): PoolChoice | undefined {
        const server = this.pick(candidates, exclude, now, request.isIdempotent);
        return server && { server, reason: this.isEjected(server) ? "probe" : "cost" };
    }

    /** Counts a request that is sent to the server that the last call of `pick` returned. */
    recordStart(server: ServerId): void {
        const stats = this.getStats(server);
        if (stats.outstanding === 0) {
            stats.progressAt = this.now;
        }
        stats.outstanding++;
        stats.probeStartedAt = stats.ejectedUntil === undefined ? undefined : this.now;
    }

    /** Records how a request ended; `notRun` is a refusal by the server or a failed connection. */
    recordResult(server: ServerId, result: AttemptResult, now: Milliseconds): void {
        const stats = this.getStats(server);
        stats.outstanding = Math.max(0, stats.outstanding - 1);
        this.detector.recordResult(stats, result, now);
        if (!result.isWithdrawn) {
            this.updateStats(stats, result, now);
            this.adaptCredit(stats, result);
        }
    }

    /**
     * Returns the timeout in ms of one attempt: an idempotent request gives up a stalled server early enough to try
     * another one, any other stays with its server until the deadline.
     *
     * @param remaining time in ms until the deadline
     */
    getAttemptTimeout(isIdempotent: boolean, remaining: Milliseconds): Milliseconds {
        return isIdempotent ? Math.min(remaining, this.detector.stallLimitMs) : remaining;
    }

    /** Returns the number of outstanding requests of this host at the server. */
    getOutstanding(server: ServerId): number {
        return this.servers.get(server)?.outstanding ?? 0;
    }

    /** Whether the server is ejected at present. */
    isEjected(server: ServerId): boolean {
        return this.servers.get(server)?.ejectedUntil !== undefined;
    }

    /** Returns which share of a route's requests leaves the data centre; `undefined` for pickers that do not decide by shares. */
    getSpillState(route: string): SpillState | undefined {
        void route;
        return undefined;
    }

    /** Returns one of the candidates, none of which is ejected, paused, excluded or at its limit. */
    protected abstract choose(
        candidates: readonly PoolCandidate[],
        now: Milliseconds,
    ): PoolCandidate | undefined;

    /** Evaluates the pool and returns the candidates that the request has not been sent to and that are not at their limit. */
    protected listPossible(
        candidates: readonly PoolCandidate[],
        exclude: ReadonlySet<ServerId>,
        now: Milliseconds,
    ): readonly PoolCandidate[] {
        this.now = now;
        this.prune(candidates);
        if (this.settings.isEjecting) {
            this.detector.review(candidates.map(({ server }) => this.getStats(server)), now);
        }
        return candidates.filter(candidate =>
            !exclude.has(candidate.server) && this.getOutstanding(candidate.server) < candidate.limit
        );
    }

    /** Returns an ejected candidate that the request has to probe. */
    protected findProbe(
        possible: readonly PoolCandidate[],
        isIdempotent: boolean,
        now: Milliseconds,
    ): PoolCandidate | undefined {
        return this.settings.isEjecting
            ? possible.find(({ server }) =>
                this.detector.isProbeDue(this.getStats(server), isIdempotent, now)
            )
            : undefined;
    }

    /** Returns the candidates that are neither ejected nor paused. */
    protected listOpen(possible: readonly PoolCandidate[], now: Milliseconds): readonly PoolCandidate[] {
        return this.settings.isEjecting
            ? possible.filter(({ server }) => this.detector.isAvailable(this.getStats(server), now))
            : possible;
    }

    /** Hook for pickers that adapt a server's credit. */
    protected adaptCredit(stats: ServerStats, result: AttemptResult): void {
        void stats;
        void result;
    }

    /** Returns the stats of a server and creates them if needed. */
    protected getStats(server: ServerId): ServerStats {
        let stats = this.servers.get(server);
        if (!stats) {
            stats = createServerStats(this.now);
            this.servers.set(server, stats);
        }
        return stats;
    }

    /** Returns the expected latency of a server: its own mean, or else the median of the pool. */
    protected getLatency(server: ServerId): Milliseconds {
        return this.getStats(server).latencyMs ?? this.detector.medianLatencyMs ?? 1;
    }

    /** Returns two different random candidates, or the only one twice. */
    protected pickTwo(candidates: readonly PoolCandidate[]): readonly [PoolCandidate, PoolCandidate] {
        const first = this.random.nextInteger(candidates.length);
        if (candidates.length === 1) {
            return [candidates[0]!, candidates[0]!];
        }
        const offset = 1 + this.random.nextInteger(candidates.length - 1);
        return [candidates[first]!, candidates[(first + offset) % candidates.length]!];
    }

    /** Updates the stats. A request that ended as unknown has a latency of at least its duration. */
    private updateStats(stats: ServerStats, result: AttemptResult, now: Milliseconds): void {
        const { newestWeight, shedPauseMs, maxShedPauseMs } = this.settings;
        const mean = stats.latencyMs ?? result.durationMs;
        const isLatencyKnown = result.kind === "answered"
            || (result.kind === "unknown" && result.durationMs > mean);
        if (isLatencyKnown) {
            stats.latencyMs = mean + newestWeight * (result.durationMs - mean);
        }
        if (result.kind === "answered") {
            stats.answers++;
            stats.failures = 0;
            stats.sheds = 0;
            stats.progressAt = now;
        }
        else if (result.kind === "notRun") {
            stats.pausedUntil = now + Math.min(maxShedPauseMs, shedPauseMs * 2 ** stats.sheds);
            stats.sheds++;
            stats.progressAt = now;
        }
        else {
            stats.failures++;
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
