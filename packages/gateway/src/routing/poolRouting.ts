import type {
    Clock,
    DataCentreId,
    Milliseconds,
    RandomSource,
    ServerId,
    ServiceId,
} from "@arbutusdoor/common";
import {
    type AttemptResult,
    createPoolPicker,
    type PoolPicker,
    PoolPickerSettings,
    type PoolRequest,
    type SpillRule,
} from "@arbutusdoor/policy";
import type { RoutedService } from "../configuration/routedService.js";
import type { RegisteredServer } from "../discovery/registeredServer.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { DataCentreTraffic } from "./dataCentreTraffic.js";
import type { ServerAdmission } from "./serverAdmission.js";
import type { SpillScope } from "./spillScope.js";

/** Traffic between data centres is expensive: a server in another one is chosen only if it is clearly less busy. */
const REMOTE_COST_FACTOR = 1.3;
/** Share of a server's connections that stays free for orders and for hosts that have just started. */
const SPARE_SHARE = 0.15;
const MAX_SERVICES = 256;
/** A stalled server is ejected after this many times the usual latency: about the longest route timeout of the sites. */
const STALL_FACTOR = 4;

/** Dependencies of pool routing. */
type PoolRoutingParts = {
    readonly directory: ServerDirectory;
    readonly admission: ServerAdmission;
    readonly dataCentre: DataCentreId;
    readonly clock: Clock;
    readonly random: RandomSource;
    /** Returns the number of hosts that share the servers' connections. */
    readonly getHosts: () => number;
    /** How requests are kept in this data centre; `cost` by default. */
    readonly spill?: SpillRule | undefined;
    /** For which services `target-latency` is in effect; all of them if absent. */
    readonly spillScope?: SpillScope;
    readonly traffic?: DataCentreTraffic;
    /** Returns how long a request would wait for a slot, by what the server reports; `undefined` without a recent report. */
    readonly getExpectedStart?: (server: RegisteredServer) => Milliseconds | undefined;
};

/** Chooses servers of pooled services by what this host has observed of them. */
export class PoolRouting {
    private readonly parts: PoolRoutingParts;
    private readonly pickers = new Map<ServiceId, PoolPicker>();
    /** Services whose requests are kept in this data centre by target latency. */
    private readonly keptServices = new Set<ServiceId>();

    constructor(parts: PoolRoutingParts) {
        this.parts = parts;
    }

    /** Returns a server for a request, or `undefined` when none may get it now. The result has to be passed to `recordResult`. */
    choose(
        service: RoutedService,
        exclude: ReadonlySet<ServerId>,
        request: PoolRequest,
    ): RegisteredServer | undefined {
        const { admission, clock, dataCentre, directory, getExpectedStart, traffic } = this.parts;
        const servers = directory.listReady(service.id).filter(server => admission.mayReceivePooled(server));
        const limit = this.getConnectionLimit(service);
        const candidates = servers.map(server => ({
            server: server.id,
            slots: server.slots,
            limit,
            costFactor: (server.dataCentre === dataCentre ? 1 : REMOTE_COST_FACTOR)
                * admission.getCostFactor(server),
            dataCentre: server.dataCentre,
            isRemote: server.dataCentre !== dataCentre,
            expectedStartMs: getExpectedStart?.(server),
        }));
        this.reviewScope(service.id, servers);
        const picker = this.getPicker(service.id);
        const choice = picker.pickFor(request, candidates, exclude, clock.now());
        const server = choice && servers.find(({ id }) => id === choice.server);
        if (server) {
            picker.recordStart(server.id);
            traffic?.recordChoice(server, choice.reason);
            admission.recordRouted(server);
        }
        traffic?.recordShare(service.id, request.route, picker.getSpillState(request.route));
        return server;
    }

    /** Returns the time until a server of the service takes requests again; 0 unless none may get any for a time. */
    getQuietTime(service: ServiceId): Milliseconds {
        const { admission, directory } = this.parts;
        const times = directory.listReady(service).flatMap(server => admission.getPooledWait(server) ?? []);
        return times.length === 0 ? 0 : Math.min(...times);
    }

    /** Records how a request to a chosen server ended. */
    recordResult(service: ServiceId, server: ServerId, result: AttemptResult): void {
        this.getPicker(service).recordResult(server, result, this.parts.clock.now());
        if (result.answerBytes !== undefined) {
            this.parts.spillScope?.recordAnswer(service, result.answerBytes);
        }
    }

    /** Returns the timeout of one attempt: an idempotent request gives up a stalled server early enough to try another. */
    getAttemptTimeout(service: ServiceId, isIdempotent: boolean, left: Milliseconds): Milliseconds {
        return this.getPicker(service).getAttemptTimeout(isIdempotent, left);
    }

    /** Returns the number of connections that this host may open to a server of the service. */
    getConnectionLimit(service: RoutedService): number {
        const share = service.maxConnections * (1 - SPARE_SHARE) / Math.max(1, this.parts.getHosts());
        return Math.max(1, Math.floor(share));
    }

    /** Begins to keep the requests for a service once its servers report load and its answers turn out to be large. */
    private reviewScope(service: ServiceId, servers: readonly RegisteredServer[]): void {
        const { spill, spillScope } = this.parts;
        const isKept = this.keptServices.has(service);
        if (spill === "target-latency" && !isKept && this.keptServices.size < MAX_SERVICES) {
            if (!spillScope || spillScope.includes(service, servers)) {
                this.keptServices.add(service);
                this.pickers.delete(service);
            }
        }
    }

    private getPicker(service: ServiceId): PoolPicker {
        let picker = this.pickers.get(service);
        if (!picker) {
            const settings = PoolPickerSettings.parse({
                picker: this.keptServices.has(service) ? "targetLatency" : "leastCostOfAll",
                stallFactor: STALL_FACTOR,
            });
            picker = createPoolPicker(settings, this.parts.random);
            this.pickers.set(service, picker);
            if (this.pickers.size > MAX_SERVICES) {
                const [oldest] = this.pickers.keys();
                this.pickers.delete(oldest as ServiceId);
            }
        }
        return picker;
    }
}
