import type { DataCentreId, Milliseconds, ServerId } from "@arbutusdoor/common";
import type { AttemptResult } from "../pool/attemptResult.js";
import type { PoolCandidate } from "../pool/poolCandidate.js";
import type { PoolChoice } from "../pool/poolChoice.js";
import { PoolPicker } from "../pool/poolPicker.js";
import { POOL_PICKERS } from "../pool/poolPickers.js";
import type { PoolRequest } from "../pool/poolRequest.js";
import { drawByCost } from "./drawByCost.js";
import type { ServerEstimate } from "./serverEstimate.js";
import { ServerTimes } from "./serverTimes.js";
import { SiteTimes } from "./siteTimes.js";
import { SpillShare } from "./spillShare.js";
import type { SpillState } from "./spillState.js";

const MAX_ROUTES = 64;
const MAX_SITES = 64;
/** Local servers without any answer for this many times their usual time are silent. */
const SILENT_FACTOR = 4;
const SILENT_SERVERS = 2;
const NEWEST_WEIGHT = 0.1;

/** State of one server. */
type ServerState = {
    readonly times: ServerTimes;
    readonly isRemote: boolean;
    readonly site: SiteTimes;
};

/** State of one route. */
type RouteState = {
    readonly share: SpillShare;
    targetMs: Milliseconds;
    /** Shortest expected time of a local server, when the last request was routed. */
    localMs: Milliseconds;
};

/**
 * Keeps requests in their data centre while a server there is expected to answer within the route's target latency; otherwise sends a share of
 * them to others that follows the measured shortage. Decides by what one host has observed, and by reported load where there is any.
 */
export class TargetLatencyPicker extends PoolPicker {
    private readonly states = new Map<ServerId, ServerState>();
    private readonly sites = new Map<DataCentreId | undefined, SiteTimes>();
    private readonly routes = new Map<string, RouteState>();
    /** Usual time of the service's servers, for those that have not answered yet. */
    private usualMs: Milliseconds | undefined;
    private localAnswerAt: Milliseconds = 0;
    /** The request of which the server was chosen last. */
    private current: { readonly route: string; readonly now: Milliseconds; } | undefined;

    override pickFor(
        request: PoolRequest,
        candidates: readonly PoolCandidate[],
        exclude: ReadonlySet<ServerId>,
        now: Milliseconds,
    ): PoolChoice | undefined {
        this.current = { route: request.route, now };
        const possible = this.listPossible(candidates, exclude, now);
        const local = possible.filter(({ isRemote }) => !isRemote);
        const probe = this.findProbe(local, request.isIdempotent, now);
        if (probe) {
            this.getState(probe);
            return { server: probe.server, reason: "probe" };
        }
        const open = this.listOpen(local, now).map(candidate => this.estimate(candidate, now));
        const route = this.getRoute(request.route);
        route.targetMs = request.targetMs;
        route.localMs = Math.min(...open.map(({ expectedMs }) => expectedMs));
        const share = route.share.update(request, route.localMs, now);
        if (open.length === 0) {
            return this.leave(request, possible, now, "noLocal");
        }
        // The larger the share, the faster local servers have to be for all requests to stay: else all would leave and stay in turns.
        const limit = Math.min(request.targetMs * (1 - share), request.timeLeftMs);
        if (route.localMs <= limit) {
            return this.stay(open, "inTime");
        }
        if (this.isSilent(open, request.targetMs, now)) {
            return this.leave(request, possible, now, "localSilent") ?? this.stay(open, "kept");
        }
        if (this.random.nextFraction() >= share) {
            return this.stay(open, "kept");
        }
        const limitMs = route.localMs - route.share.getGain(request);
        const choice = this.leave(request, possible, now, "spilled", limitMs);
        if (!choice) {
            route.share.recordRemote("gainedNothing", now);
        }
        return choice ?? this.stay(open, "noGain");
    }

    override recordStart(server: ServerId): void {
        super.recordStart(server);
        const state = this.states.get(server);
        if (state && this.current) {
            const { now, route } = this.current;
            state.times.recordStart(now);
            const { local, remote } = this.getRoute(route).share;
            (state.isRemote ? remote : local).recordStart(now);
        }
    }

    override recordResult(server: ServerId, result: AttemptResult, now: Milliseconds): void {
        super.recordResult(server, result, now);
        const state = this.states.get(server);
        if (!state) {
            return;
        }
        const { durationMs, isWithdrawn, kind, route } = result;
        const { isRemote, site, times } = state;
        times.recordEnd(now - durationMs);
        if (!isWithdrawn && kind === "answered") {
            times.recordAnswer(durationMs, this.usualMs, site, now);
            const usual = times.usualMs ?? durationMs;
            this.usualMs = (this.usualMs ?? usual) + NEWEST_WEIGHT * (usual - (this.usualMs ?? usual));
        }
        else if (!isWithdrawn && kind === "notRun") {
            times.recordRefusal(site, now);
        }
        if (!isRemote && kind === "answered") {
            this.localAnswerAt = now;
        }
        if (route !== undefined) {
            this.recordForRoute(this.getRoute(route), isRemote, result, now);
        }
    }

    override getSpillState(route: string): SpillState | undefined {
        return this.routes.get(route)?.share.state;
    }

    protected override choose(
        candidates: readonly PoolCandidate[],
        now: Milliseconds,
    ): PoolCandidate | undefined {
        return drawByCost(candidates.map(candidate => this.estimate(candidate, now)), this.random).candidate;
    }

    private stay(estimates: readonly ServerEstimate[], reason: "inTime" | "kept" | "noGain"): PoolChoice {
        return { server: drawByCost(estimates, this.random).candidate.server, reason };
    }

    /** Returns a server of another data centre that is expected to answer within the limit. */
    private leave(
        { isIdempotent }: PoolRequest,
        possible: readonly PoolCandidate[],
        now: Milliseconds,
        reason: "noLocal" | "localSilent" | "spilled",
        limitMs = Infinity,
    ): PoolChoice | undefined {
        const remote = possible.filter(({ isRemote }) => isRemote);
        const probe = this.findProbe(remote, isIdempotent, now);
        if (probe) {
            this.getState(probe);
            return { server: probe.server, reason: "probe" };
        }
        const open = this.listOpen(remote, now)
            .map(candidate => this.estimate(candidate, now))
            .filter(({ expectedMs }) => expectedMs <= limitMs);
        return open.length === 0
            ? undefined
            : { server: drawByCost(open, this.random).candidate.server, reason };
    }

    /** Whether the local servers have stopped to answer: several have overdue requests, and none has answered meanwhile. */
    private isSilent(open: readonly ServerEstimate[], targetMs: Milliseconds, now: Milliseconds): boolean {
        const limit = Math.max(targetMs, SILENT_FACTOR * (this.usualMs ?? 0));
        const silent = open.filter(({ oldestAgeMs }) => oldestAgeMs > limit).length;
        return silent >= Math.min(SILENT_SERVERS, open.length) && now - this.localAnswerAt > limit;
    }

    private recordForRoute(
        { localMs, share, targetMs }: RouteState,
        isRemote: boolean,
        result: AttemptResult,
        now: Milliseconds,
    ): void {
        const { answerBytes, durationMs, isWithdrawn, kind } = result;
        if (answerBytes !== undefined) {
            share.recordBytes(answerBytes);
        }
        const isLate = durationMs > targetMs;
        const isKnown = !isWithdrawn || isLate;
        const isInTime = kind === "answered" && !isLate;
        const meter = isRemote ? share.remote : share.local;
        meter.recordEnd(now - durationMs, isKnown ? isInTime : undefined, now);
        if (isRemote && !isWithdrawn) {
            const gained = isInTime || durationMs < localMs;
            share.recordRemote(kind !== "answered" ? "refused" : gained ? "gained" : "gainedNothing", now);
        }
    }

    private estimate(candidate: PoolCandidate, now: Milliseconds): ServerEstimate {
        const { expectedStartMs, slots } = candidate;
        const { site, times } = this.getState(candidate);
        const usualMs = this.usualMs ?? 1;
        return {
            candidate,
            expectedMs: times.getExpected({ expectedStartMs, slots, site, usualMs, now }),
            outstanding: times.outstanding,
            oldestAgeMs: times.getOldestAge(now),
        };
    }

    private getState({ dataCentre, isRemote = false, server }: PoolCandidate): ServerState {
        let state = this.states.get(server);
        if (!state) {
            state = { times: new ServerTimes(), isRemote, site: this.getSite(dataCentre) };
            this.states.set(server, state);
            if (this.states.size > this.settings.maxServers) {
                const unused = [...this.states].find(([, { times }]) => times.outstanding === 0);
                this.states.delete(unused?.[0] ?? server);
            }
        }
        return state;
    }

    private getSite(dataCentre: DataCentreId | undefined): SiteTimes {
        return getOrCreate(this.sites, dataCentre, MAX_SITES, () => new SiteTimes());
    }

    private getRoute(route: string): RouteState {
        return getOrCreate(this.routes, route, MAX_ROUTES, () => ({
            share: new SpillShare(),
            targetMs: Infinity,
            localMs: Infinity,
        }));
    }
}

/** Returns an entry of a map; when it is full, the oldest entry makes room. */
function getOrCreate<Key, Value>(
    map: Map<Key, Value>,
    key: Key,
    maxSize: number,
    create: () => Value,
): Value {
    let value = map.get(key);
    if (value === undefined) {
        value = create();
        map.set(key, value);
        if (map.size > maxSize) {
            map.delete(map.keys().next().value as Key);
        }
    }
    return value;
}

POOL_PICKERS.register({
    name: "targetLatency",
    make: (settings, random) => new TargetLatencyPicker(settings, random),
});
