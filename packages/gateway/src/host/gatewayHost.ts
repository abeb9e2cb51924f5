import type {
    Clock,
    HostIncarnation,
    Logger,
    Metrics,
    Milliseconds,
    RandomSource,
    ServiceId,
} from "@arbutusdoor/common";
import { WsTransport } from "@arbutusdoor/mesh";
import { createServer } from "node:http";
import polka from "polka";
import type { CoordinatorLease } from "../coordination/coordinatorLease.js";
import { LeaseManager } from "../coordination/leaseManager.js";
import type { Predecessor } from "../coordination/predecessor.js";
import { CoordinatorHub } from "../links/coordinatorHub.js";
import { CoordinatorLink } from "../links/coordinatorLink.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import { HostCount } from "../links/hostCount.js";
import { KeyCoordinator } from "../ownership/keyCoordinator.js";
import type { CallerPort } from "../requests/callerPort.js";
import { KeyRouting } from "../routing/keyRouting.js";
import { LoadReporter } from "../routing/loadReporter.js";
import type { HostSettings } from "../settings/hostSettings.js";
import { TableFollower } from "../store/tableFollower.js";
import { ClusterState } from "./clusterState.js";
import { createCallerPort } from "./createCallerPort.js";
import { createOwnershipSettings } from "./createOwnershipSettings.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { REBALANCE } from "./rebalance.js";

const TICK_MS = 100;
const REPORT_MS = 200;
const BEAT_MS = 300;
/** A coordinator that has not heard of the store for longer may miss changes: each host then follows the store itself. */
const STORE_AGE_LIMIT_MS = 1_500;
const LINK_TIMEOUT_MS = 500;
/** The balancer needs two misses, a second apart, before it sends no more connections. */
const LISTEN_AFTER_STOP_MS = 2_500;
/** Left of the grace time for closing down. */
const STOP_MARGIN_MS = 300;
/** A host without a map of keys is ready after this time all the same: pooled services can be served. */
const READY_WITHOUT_KEYS_MS = 4_000;
/** A leaving server gets requests for the keys that it still holds until shortly before the bound. */
const DRAIN_MARGIN_MS = 300;

/** What a host is made of. */
type GatewayParts = {
    readonly settings: HostSettings;
    readonly options: GatewayOptions;
    readonly incarnation: HostIncarnation;
    readonly clock: Clock;
    readonly random: RandomSource;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly adapters: GatewayAdapters;
};

/** One host on the platform: takes callers' requests, and coordinates the keyed services while it holds the lease. */
export class GatewayHost {
    private readonly parts: GatewayParts;
    private settings: HostSettings;
    private readonly knowledge: ClusterState;
    private readonly followers: readonly TableFollower<unknown>[];
    private readonly lease: LeaseManager;
    private readonly hub: CoordinatorHub;
    private readonly link: CoordinatorLink;
    private readonly coordinator: KeyCoordinator;
    private readonly front: CallerPort;
    private readonly loads: LoadReporter;
    private readonly keys: KeyRouting;
    private readonly startedAt: Milliseconds;
    private readonly hosts: HostCount;
    private storeAge: Milliseconds = Infinity;
    private isStopping = false;

    constructor(parts: GatewayParts) {
        this.parts = parts;
        this.settings = parts.settings;
        const { adapters, clock, incarnation, logger, metrics, options, random, settings } = parts;
        this.startedAt = clock.now();
        this.hosts = new HostCount(clock);
        this.knowledge = new ClusterState(clock, logger);
        const { directory } = this.knowledge;
        const ownership = createOwnershipSettings(options.holdMs, settings.bounds.maxHoldMs);
        this.followers = this.newFollowers();
        this.lease = new LeaseManager({
            host: settings.host,
            incarnation,
            address: `${settings.ip}:${settings.linkPort}`,
            table: adapters.leases,
            clock,
            random,
            logger,
            needsCoordinator: () => !this.isLinked(),
            isEligible: () => !this.isStopping && this.knowledge.routes !== undefined,
            renewalAuthorityMs: ownership.renewalAuthorityMs,
            onAcquired: (term, predecessors) => this.becomeCoordinator(term, predecessors),
            onOtherCoordinator: lease => this.follow(lease),
        });
        this.loads = new LoadReporter(settings.host, incarnation);
        this.keys = new KeyRouting(
            this.knowledge.keys,
            directory,
            clock,
            () => this.settings.bounds.drainMs - DRAIN_MARGIN_MS,
        );
        this.coordinator = new KeyCoordinator({
            clock,
            logger,
            metrics,
            orders: adapters.orders,
            table: adapters.keys,
            onCommitted: row => this.knowledge.recordKeyMap(row),
            directory,
            getConfiguration: () => this.knowledge.routes?.configuration,
            lease: this.lease,
            settings: ownership,
            rebalance: REBALANCE,
            stripeKeys: options.stripeKeys,
            onHeld: (service, ranges) => this.announceHeld(service, ranges),
        });
        const transport = () => new WsTransport(LINK_TIMEOUT_MS);
        this.hub = new CoordinatorHub({
            transport: transport(),
            ip: settings.ip,
            port: settings.linkPort,
            clock,
            logger,
            getInitialMessages: () =>
                this.coordinator.isActive ? [...this.knowledge.createSnapshots(), this.newBeat()] : undefined,
            onReport: report => this.coordinator.handleReport(report),
        });
        this.link = new CoordinatorLink({
            transport: transport(),
            clock,
            logger,
            onMessage: message => this.take(message),
        });
        this.front = createCallerPort({
            ...parts,
            getSettings: () => this.settings,
            knowledge: this.knowledge,
            keys: this.keys,
            loads: this.loads,
            hosts: this.hosts,
        });
        this.knowledge.onChange(message => this.hub.broadcast(message));
        this.knowledge.onRoutes(({ configuration }) => {
            const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
            this.front.setTimeouts(headerTimeoutMs, idleTimeoutMs);
        });
    }

    /** Begins to serve. Rejects when an address cannot be had. */
    async start(): Promise<void> {
        const { callerAddress, ip, readinessAddress } = this.parts.settings;
        await this.hub.listen();
        await this.front.listen(...splitAddress(callerAddress));
        this.listen(
            readinessAddress,
            polka({ server: createServer() }).get("/-/readiness", (_, response) => {
                response.statusCode = this.isReady() ? 200 : 503;
                response.end();
            }),
        );
        const { metrics, options } = this.parts;
        this.listen(
            `${ip}:${options.metricsPort}`,
            polka({ server: createServer() }).get("/metrics", (_, response) => {
                response.setHeader("content-type", "text/plain; version=0.0.4");
                response.end(metrics.print());
            }),
        );
        this.followers.forEach(follower => follower.start());
        void this.lease.run();
        this.repeat(TICK_MS, () => this.review());
        this.repeat(REPORT_MS, () => this.report());
        this.repeat(BEAT_MS, () => this.beat());
    }

    /** Takes changed settings over. Addresses and names of this host stay as they were until it starts again. */
    applySettings(settings: HostSettings): void {
        this.settings = { ...this.settings, bounds: settings.bounds };
    }

    /** Stops gracefully: hands the lease on, lets the balancer notice, and finishes every request that was read. */
    async stop(): Promise<void> {
        const { clock } = this.parts;
        this.isStopping = true;
        this.front.announceClose();
        const resigned = this.resign();
        await clock.sleep(LISTEN_AFTER_STOP_MS);
        const rest = this.settings.bounds.graceMs - LISTEN_AFTER_STOP_MS - STOP_MARGIN_MS;
        await Promise.race([Promise.all([this.front.close(), resigned]), clock.sleep(rest)]);
    }

    private async resign(): Promise<void> {
        this.coordinator.stop();
        await this.lease.resign();
        this.hub.closeLinks();
    }

    private isReady(): boolean {
        const { clock } = this.parts;
        const hasKeys = this.keys.isKnown || clock.now() - this.startedAt > READY_WITHOUT_KEYS_MS;
        return !this.isStopping && this.knowledge.routes !== undefined && this.knowledge.directory.isKnown
            && hasKeys;
    }

    /** Whether a coordinator that is itself in touch with the store tells this host of all changes. */
    private isLinked(): boolean {
        return this.link.isResponsive && this.storeAge < STORE_AGE_LIMIT_MS;
    }

    private becomeCoordinator(term: number, predecessors: readonly Predecessor[]): void {
        this.link.disconnect();
        this.coordinator.start(term, predecessors);
    }

    private follow(lease: CoordinatorLease): void {
        if (this.coordinator.isActive) {
            this.coordinator.stop();
            this.hub.closeLinks();
        }
        this.link.connect(lease.address);
    }

    /** Follows the store as long as no coordinator tells of its changes. */
    private review(): void {
        this.hub.dropUnresponsive();
        this.link.dropUnresponsive();
        const isCoordinating = this.coordinator.isActive;
        const [configuration, servers, keys] = this.followers;
        for (const follower of [configuration, servers]) {
            setRunning(follower, isCoordinating || !this.isLinked());
        }
        setRunning(keys, !isCoordinating && !this.isLinked());
    }

    private report(): void {
        const report = this.loads.flush();
        if (this.coordinator.isActive) {
            this.coordinator.handleReport(report);
        }
        else {
            this.link.send(report);
        }
    }

    private beat(): void {
        if (this.coordinator.isActive) {
            this.hosts.record(this.hub.size + 1);
            this.hub.broadcast(this.newBeat());
        }
    }

    private newBeat(): CoordinatorMessage {
        return {
            kind: "beat",
            term: this.lease.term ?? 0,
            storeAgeMs: Math.min(this.lease.storeContactAge, Number.MAX_SAFE_INTEGER),
            hosts: this.hub.size + 1,
        };
    }

    private take(message: CoordinatorMessage): void {
        if (message.kind === "rows") {
            this.knowledge.handleRows(message);
        }
        else if (message.kind === "keys") {
            if (!this.knowledge.handleKeys(message)) {
                // The next link begins with the whole map.
                this.link.disconnect();
            }
        }
        else if (message.kind === "held") {
            this.keys.recordHeld(message.service as ServiceId, message.ranges);
        }
        else {
            this.storeAge = message.storeAgeMs;
            this.hosts.record(Math.max(1, message.hosts));
        }
    }

    private announceHeld(service: ServiceId, ranges: readonly (readonly [number, number])[]): void {
        this.keys.recordHeld(service, ranges);
        this.hub.broadcast({ kind: "held", service, ranges });
    }

    private newFollowers(): readonly TableFollower<unknown>[] {
        const { adapters, clock, logger } = this.parts;
        const { configuration, keys, servers } = this.knowledge;
        return [
            new TableFollower({
                table: "configuration",
                source: adapters.configuration,
                view: configuration,
                clock,
                logger,
            }),
            new TableFollower({ table: "servers", source: adapters.servers, view: servers, clock, logger }),
            new TableFollower({ table: "keys", source: adapters.keys, view: keys, clock, logger }),
        ] as unknown as readonly TableFollower<unknown>[];
    }

    private listen(address: string, app: ReturnType<typeof polka>): void {
        const [host, port] = splitAddress(address);
        app.listen(port, host);
    }

    private repeat(period: Milliseconds, action: () => void): void {
        this.parts.clock.schedule(period, () => {
            action();
            this.repeat(period, action);
        });
    }
}

function splitAddress(address: string): [host: string, port: number] {
    const colon = address.lastIndexOf(":");
    return [address.slice(0, colon), Number(address.slice(colon + 1))];
}

function setRunning(follower: TableFollower<unknown> | undefined, isRunning: boolean): void {
    if (isRunning) {
        follower?.start();
    }
    else {
        follower?.stop();
    }
}
