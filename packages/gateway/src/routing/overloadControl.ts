import type { Clock, Logger, Metrics, Milliseconds, RandomSource, ServerId } from "@arbutusdoor/common";
import {
    AdmissionLevels,
    type CallerReturn,
    CallerReturns,
    decideAdmission,
    getQueueDrain,
    getRepeatDelay,
    getReturnDelay,
} from "@arbutusdoor/policy";
import type { ServerLoad } from "../backends/serverLoad.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import type { HostReport } from "../links/hostReport.js";
import type { OverloadedServer } from "../links/overloadedServer.js";
import type { GatewayRequest } from "../requests/gatewayRequest.js";
import { isForOwner } from "../requests/isForOwner.js";
import type { RequestState } from "../requests/requestState.js";
import { ServerWaits } from "./serverWaits.js";

const MAX_SCOPES = 4_096;
const MAX_ROUTES = 1_024;
/** Time until a request may come back that was refused for another reason than load, such as a key that moves. */
const OTHER_CAPACITY_MS = 200;
/** Reasons for a refusal after which capacity is expected once the queue has emptied. */
const LOAD_REASONS = new Set([
    "shed",
    "overdue",
    "noServer",
    "noTimeToRun",
    "lateUnderLoad",
    "lessUrgent",
    "repeatedTooEarly",
]);
/** Overloaded servers that the coordinator names in one heartbeat; a heartbeat of these is about 400 bytes long. */
const MAX_NAMED = 16;
/** Looking at each of 300 servers for every request took 40 us; a decision must take less than 50 us. */
const POOL_REVIEW_MS = 20;
const PERCENT = 100;

/** Dependencies of the control. */
type OverloadParts = {
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly directory: ServerDirectory;
    /** Whether it is in effect; where it is not, requests are refused by their servers alone. */
    readonly isOn: () => boolean;
};

/** Where levels apply: the owner of a key, or a pooled service as a whole. */
type Scope = {
    readonly levels: AdmissionLevels;
    /** Whether the limits that are in effect were logged. */
    isLogged: boolean;
    /** Whether most servers of a pool shed, and when that was determined. */
    isPoolShedding: boolean;
    reviewedAt: Milliseconds;
};

/** Decides which requests are sent to servers whose capacity is exceeded, and when refused callers may come back. */
export class OverloadControl {
    private readonly parts: OverloadParts;
    private readonly waits = new ServerWaits();
    private readonly scopes = new Map<string, Scope>();
    private readonly callers = new Map<string, CallerReturns>();

    constructor(parts: OverloadParts) {
        this.parts = parts;
        parts.metrics.gauge("arbutusdoor_admission_limited", () => {
            const now = parts.clock.now();
            return [...this.scopes.values()].filter(({ levels }) => levels.isLimiting(now)).length;
        });
    }

    /** Whether requests are admitted by this host's estimates. */
    get isOn(): boolean {
        return this.parts.isOn();
    }

    /** Records a request; returns whether its caller has come back. */
    recordArrival({ arrivedAt, callerTimeoutMs, route, service }: GatewayRequest): CallerReturn {
        if (!this.isOn || callerTimeoutMs === undefined) {
            return { kind: "first", elapsedMs: 0 };
        }
        let callers = this.callers.get(route.name);
        if (!callers) {
            callers = new CallerReturns();
            this.callers.set(route.name, callers);
            removeOldest(this.callers, MAX_ROUTES);
        }
        const caller = callers.record(callerTimeoutMs, arrivedAt);
        this.parts.metrics.count("arbutusdoor_caller_returns_total", {
            service: service.id,
            route: route.name,
            caller: caller.kind,
        });
        return caller;
    }

    /** Records how long a server took to answer. */
    recordAnswer(
        { route, service }: GatewayRequest,
        server: RegisteredServer,
        durationMs: Milliseconds,
    ): void {
        this.waits.recordWork(service.id, route.name, durationMs);
        const work = this.waits.getWork(service.id, route.name);
        this.waits.get(server.id).recordAnswers(durationMs, work, 1, this.parts.clock.now());
    }

    /** Records that a request got no answer within the time that it had. */
    recordUnanswered(
        { route, service }: GatewayRequest,
        server: RegisteredServer,
        durationMs: Milliseconds,
    ): void {
        const work = this.waits.getWork(service.id, route.name);
        this.waits.get(server.id).recordUnanswered(durationMs, work, this.parts.clock.now());
    }

    /** Records that a server shed a request, and the load that it reported. */
    recordShed(request: GatewayRequest, server: RegisteredServer, load: ServerLoad | undefined): void {
        const now = this.parts.clock.now();
        const drain = getQueueDrain(this.waits.getWork(request.service.id), load);
        if (this.waits.get(server.id).recordShed(drain, now) && this.isShedding(request, server, now)) {
            this.getScope(request, server).levels.recordShed(now);
        }
    }

    /** Whether a request may be sent to a server. Records the figures that decided, and the reason if it may not. */
    admits(state: RequestState, server: RegisteredServer): boolean {
        const { request } = state;
        state.consideredServer = server;
        if (!this.isOn || state.runs + state.running.size > 0) {
            return true;
        }
        const { clock, metrics, random } = this.parts;
        const { route, service } = request;
        const now = clock.now();
        const scope = this.getScope(request, server);
        scope.levels.recordKind(route.priority, route.objectiveMs, now);
        const latencyLimit = scope.levels.getLatencyLimit(route.priority, now);
        const share = scope.levels.getShare(route.priority, state.caller.kind, now);
        this.logLimits(scope, request, server, now);
        const waitMs = this.waits.getWait(server.id, now);
        const workMs = this.waits.getWork(service.id, route.name);
        const decision = decideAdmission({
            now,
            targetAt: getFirstAttemptTime(state) + latencyLimit,
            deadlineAt: request.deadlineAt,
            caller: state.caller.kind,
            waitMs,
            workMs,
            isShedding: this.isShedding(request, server, now),
            share,
            fraction: random.nextFraction(),
        });
        if (decision.kind === "admitted") {
            return true;
        }
        state.selectionFields = {
            ...state.selectionFields,
            server: server.id,
            caller: state.caller.kind,
            elapsedMs: Math.round(state.caller.elapsedMs),
            priority: route.priority,
            waitMs: Math.round(waitMs),
            workMs: Math.round(workMs),
            sharePercent: Math.round(share * PERCENT),
            pressurePercent: Math.round(scope.levels.getPressure(now) * PERCENT),
        };
        state.lastFailure = { reason: decision.reason, detail: "" };
        metrics.count("arbutusdoor_admission_refused_total", {
            service: service.id,
            route: route.name,
            reason: decision.reason,
        });
        return false;
    }

    /** Returns how long to wait before a server that shed a request is asked again; `undefined` when that cannot be in time. */
    getRepeatDelay(state: RequestState, server: RegisteredServer): Milliseconds | undefined {
        const now = this.parts.clock.now();
        const { deadlineAt, route, service } = state.request;
        const latestAt = Math.min(deadlineAt, getFirstAttemptTime(state) + route.objectiveMs);
        const work = this.waits.getWork(service.id, route.name);
        return getRepeatDelay(this.waits.get(server.id), work, latestAt, now);
    }

    /** Returns when a refused request may come back; `undefined` where the control is not in effect. */
    getReturnDelay(state: RequestState): Milliseconds | undefined {
        if (!this.isOn) {
            return undefined;
        }
        const { clock, random } = this.parts;
        const { arrivedAt, callerTimeoutMs, deadlineAt } = state.request;
        const endsAt = callerTimeoutMs === undefined ? deadlineAt : arrivedAt + callerTimeoutMs;
        const capacity = state.quietTime ?? this.getCapacityTime(state, clock.now());
        return getReturnDelay(capacity, endsAt - clock.now(), random.nextFraction());
    }

    /** Records what another host observed, on the coordinator. */
    handleReport({ servers, sheds = [] }: HostReport): void {
        if (!this.isOn) {
            return;
        }
        const now = this.parts.clock.now();
        for (const [id, answers, totalMs] of servers) {
            const work = this.getServerWork(id);
            if (work > 0 && answers > 0) {
                this.waits.get(id as ServerId).recordAnswers(totalMs / answers, work, answers, now);
            }
        }
        for (const id of sheds) {
            const work = this.getServerWork(id);
            if (work > 0 && this.waits.get(id as ServerId).recordShed(getQueueDrain(work, undefined), now)) {
                this.getServerScope(id as ServerId).levels.recordShed(now);
            }
        }
    }

    /** Returns the servers that shed requests, those with the longest waits, for all hosts; `undefined` when there are none. */
    listOverloaded(): readonly OverloadedServer[] | undefined {
        if (!this.isOn) {
            return undefined;
        }
        const now = this.parts.clock.now();
        const overloaded: OverloadedServer[] = [];
        for (const [id, wait] of this.waits.entries()) {
            if (wait.isShedding(now)) {
                const pressure = this.scopes.get(id)?.levels.getPressure(now) ?? 0;
                overloaded.push([id, Math.round(wait.get(now)), Math.round(pressure * PERCENT)]);
            }
        }
        overloaded.sort(([, waitA], [, waitB]) => waitB - waitA);
        return overloaded.length === 0 ? undefined : overloaded.slice(0, MAX_NAMED);
    }

    /** Records the servers that the coordinator names as overloaded. */
    handleHeartbeat({ overloaded = [] }: Extract<CoordinatorMessage, { kind: "beat"; }>): void {
        if (!this.isOn) {
            return;
        }
        const now = this.parts.clock.now();
        for (const [id, waitMs, pressurePercent] of overloaded) {
            this.waits.get(id as ServerId).replace(waitMs, true, now);
            this.getServerScope(id as ServerId).levels.raise(pressurePercent / PERCENT, now);
        }
    }

    private isShedding(request: GatewayRequest, server: RegisteredServer, now: Milliseconds): boolean {
        if (isForOwner(request)) {
            return this.waits.isServerShedding(server.id, now);
        }
        const scope = this.getScope(request, server);
        if (now - scope.reviewedAt >= POOL_REVIEW_MS) {
            scope.reviewedAt = now;
            const servers = this.parts.directory.listReady(request.service.id);
            scope.isPoolShedding = this.waits.areMostShedding(servers, now);
        }
        return scope.isPoolShedding;
    }

    private getCapacityTime(
        { consideredServer, lastFailure, request }: RequestState,
        now: Milliseconds,
    ): Milliseconds {
        const { route, service } = request;
        if (!LOAD_REASONS.has(lastFailure?.reason ?? "noServer")) {
            return OTHER_CAPACITY_MS;
        }
        const servers = isForOwner(request)
            ? consideredServer ? [consideredServer] : []
            : this.parts.directory.listReady(service.id);
        const waits = servers.map(({ id }) => this.waits.getWait(id, now));
        const shortest = waits.length === 0 ? OTHER_CAPACITY_MS : Math.min(...waits);
        return Math.max(shortest, this.waits.getWork(service.id, route.name));
    }

    /** Returns the usual time of work on a server; 0 when it is unknown. */
    private getServerWork(id: string): Milliseconds {
        const service = this.parts.directory.findNewest(id as ServerId)?.service;
        return service === undefined ? 0 : this.waits.getWork(service);
    }

    private getScope(request: GatewayRequest, { id }: RegisteredServer): Scope {
        return isForOwner(request)
            ? this.getServerScope(id)
            : this.getNamedScope(`service ${request.service.id}`);
    }

    private getServerScope(id: ServerId): Scope {
        return this.getNamedScope(id);
    }

    private getNamedScope(name: string): Scope {
        let scope = this.scopes.get(name);
        if (!scope) {
            scope = {
                levels: new AdmissionLevels(),
                isLogged: false,
                isPoolShedding: false,
                reviewedAt: -Infinity,
            };
            this.scopes.set(name, scope);
            removeOldest(this.scopes, MAX_SCOPES);
        }
        return scope;
    }

    private logLimits(
        scope: Scope,
        request: GatewayRequest,
        server: RegisteredServer,
        now: Milliseconds,
    ): void {
        const isLimiting = scope.levels.isLimiting(now);
        if (isLimiting !== scope.isLogged) {
            scope.isLogged = isLimiting;
            this.parts.logger.log(isLimiting ? "admissionLimited" : "admissionRestored", {
                service: request.service.id,
                server: isForOwner(request) ? server.id : undefined,
                pressurePercent: Math.round(scope.levels.getPressure(now) * PERCENT),
                waitMs: Math.round(this.waits.getWait(server.id, now)),
            });
        }
    }
}

function getFirstAttemptTime({ caller, request }: RequestState): Milliseconds {
    return request.arrivedAt - caller.elapsedMs;
}

function removeOldest<Key>(map: Map<Key, unknown>, limit: number): void {
    if (map.size > limit) {
        const [oldest] = map.keys();
        map.delete(oldest as Key);
    }
}
