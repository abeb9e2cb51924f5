import type {
    Clock,
    HostIncarnation,
    LogFields,
    Logger,
    Metrics,
    Milliseconds,
    RandomSource,
    ServiceId,
} from "@arbutusdoor/common";
import { WsTransport } from "@arbutusdoor/mesh";
import type { CoordinatorLease } from "../coordination/coordinatorLease.js";
import { LeaseManager } from "../coordination/leaseManager.js";
import type { Predecessor } from "../coordination/predecessor.js";
import { CoordinatorCurrency } from "../links/coordinatorCurrency.js";
import { CoordinatorHub } from "../links/coordinatorHub.js";
import { CoordinatorLink } from "../links/coordinatorLink.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import { HostCount } from "../links/hostCount.js";
import type { HostReport } from "../links/hostReport.js";
import { KeyCoordinator } from "../ownership/keyCoordinator.js";
import type { CallerPort } from "../requests/callerPort.js";
import { KeyRouting } from "../routing/keyRouting.js";
import { LoadReporter } from "../routing/loadReporter.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { HostSettings } from "../settings/hostSettings.js";
import type { PendingSetting } from "../settings/pendingSetting.js";
import { StoreAvailability } from "../store/storeAvailability.js";
import { ClusterState } from "./clusterState.js";
import { createCallerPort } from "./createCallerPort.js";
import { createFollowers } from "./createFollowers.js";
import { createHeartbeat } from "./createHeartbeat.js";
import { createOverloadControl } from "./createOverloadControl.js";
import { createOwnershipSettings } from "./createOwnershipSettings.js";
import { createServerAdmission } from "./createServerAdmission.js";
import type { GatewayAdapters } from "./gatewayAdapters.js";
import type { GatewayOptions } from "./gatewayOptions.js";
import { getClaimDelay } from "./getClaimDelay.js";
import { getTableAgeLimit } from "./getTableAgeLimit.js";
import { GracefulShutdown } from "./gracefulShutdown.js";
import { listenForStatus } from "./listenForStatus.js";
import { LiveSettings } from "./liveSettings.js";
import { REBALANCE } from "./rebalance.js";
import { repeatTask } from "./repeatTask.js";
import { ReportSender } from "./reportSender.js";
import { splitAddress } from "./splitAddress.js";
import { StoreFollowing } from "./storeFollowing.js";
import { TableFollowing } from "./tableFollowing.js";
import { UpdateReceiver } from "./updateReceiver.js";

const TICK_MS = 100;
const REPORT_MS = 200;
const HEARTBEAT_MS = 300;
/** A coordinator that has just taken over, on a small host, needs more than half a second for a handshake while all hosts link to it. */
const LINK_TIMEOUT_MS = 2_000;
/** A host without a key map is ready after this time nevertheless, as it can serve pooled services. */
const READY_WITHOUT_KEYS_MS = 4_000;

/** Dependencies of a host. */
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

/** One host on the platform: serves callers' requests, and coordinates the keyed services while it holds the lease. */
export class GatewayHost {
    private readonly parts: GatewayParts;
    private readonly settings: LiveSettings;
    private readonly state: ClusterState;
    private readonly following: TableFollowing;
    private readonly lease: LeaseManager;
    private readonly hub: CoordinatorHub;
    private readonly link: CoordinatorLink;
    private readonly coordinator: KeyCoordinator;
    private readonly callerPort: CallerPort;
    private readonly loads: LoadReporter;
    private readonly reports: ReportSender;
    private readonly updates: UpdateReceiver;
    private readonly overload: OverloadControl;
    private readonly keys: KeyRouting;
    private readonly startedAt: Milliseconds;
    private readonly hosts: HostCount;
    private readonly currency: CoordinatorCurrency;
    /** Term of the coordinator that this host follows; `undefined` while it follows none. */
    private followedTerm: number | undefined;
    private isStopping = false;

    constructor(parts: GatewayParts) {
        this.parts = parts;
        const { adapters, clock, incarnation, logger, metrics, options, random, settings } = parts;
        this.settings = new LiveSettings(settings, logger, adapters);
        this.startedAt = clock.now();
        this.hosts = new HostCount(clock);
        this.state = new ClusterState(clock, logger, metrics);
        const { directory } = this.state;
        const getAgeLimit = () => getTableAgeLimit(this.settings.current);
        this.currency = new CoordinatorCurrency(this.state.storeClock, getAgeLimit);
        const claimDelayMs = getClaimDelay(settings.processorCores);
        const availability = new StoreAvailability(clock, random);
        const ownership = createOwnershipSettings(options.holdMs, settings.bounds.maxHoldMs);
        const followers = createFollowers(
            this.state,
            adapters,
            clock,
            logger,
            availability,
            () => this.coordinator.isActive,
            era => this.state.era.record(era),
        );
        const decision = new StoreFollowing(clock, random, claimDelayMs === 0, getAgeLimit);
        this.following = new TableFollowing(this.state, followers, decision);
        this.lease = new LeaseManager({
            host: settings.host,
            incarnation,
            address: `${settings.ip}:${settings.linkPort}`,
            table: adapters.leases,
            availability,
            clock,
            random,
            logger,
            era: this.state.era,
            needsCoordinator: () => !this.isLinked(),
            isEligible: () => !this.isStopping && this.state.routes !== undefined,
            claimDelayMs,
            renewalAuthorityMs: ownership.renewalAuthorityMs,
            onAcquired: (...lease) => this.becomeCoordinator(...lease),
            onOtherCoordinator: lease => this.followCoordinator(lease),
        });
        this.loads = new LoadReporter(settings.host, incarnation);
        const { admission, placement } = createServerAdmission({
            ...parts,
            getSettings: () => this.settings.current,
            state: this.state,
            hosts: this.hosts,
        });
        this.keys = new KeyRouting(
            this.state.keys,
            directory,
            clock,
            admission,
            () => this.coordinator.isActive || this.isLinked(),
        );
        this.overload = createOverloadControl(parts, directory);
        this.coordinator = new KeyCoordinator({
            clock,
            logger,
            metrics,
            orders: adapters.orders,
            table: adapters.keys,
            onCommitted: (row, era) => this.state.recordKeyMap(row, era),
            directory,
            placement,
            getConfiguration: () => this.state.routes?.configuration,
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
            isCoordinating: () => this.coordinator.isActive,
            createUpdates: known => [
                ...this.state.createUpdates(known),
                ...this.coordinator.listHeld().map(held => ({ kind: "held", ...held }) as const),
                this.createHeartbeat(),
            ],
            onReport: report => {
                this.state.era.record(report.era);
                this.coordinator.handleReport(report);
                this.overload.handleReport(report);
            },
        });
        metrics.gauge("arbutusdoor_links", () => this.hub.size);
        metrics.gauge("arbutusdoor_link_buffered_bytes", () => this.hub.bufferedBytes);
        metrics.gauge("arbutusdoor_key_ranges_waiting", () => this.coordinator.waitingRanges);
        this.link = new CoordinatorLink({
            transport: transport(),
            clock,
            random,
            logger,
            createFirstReport: () => this.createFirstReport(),
            onMessage: message => this.updates.handle(message),
        });
        this.updates = new UpdateReceiver({
            state: this.state,
            keys: this.keys,
            currency: this.currency,
            hosts: this.hosts,
            overload: this.overload,
            disconnect: () => this.link.disconnect(),
        });
        this.reports = new ReportSender(this.loads, this.coordinator, this.link, () => this.createReport());
        this.callerPort = createCallerPort({
            ...parts,
            getSettings: () => this.settings.current,
            state: this.state,
            keys: this.keys,
            admission,
            loads: this.loads,
            overload: this.overload,
            hosts: this.hosts,
        });
        this.state.onChange(message => this.hub.broadcast(message));
        this.state.onRoutes(({ configuration }) => {
            const { headerTimeoutMs, idleTimeoutMs } = configuration.limits;
            this.callerPort.setTimeouts(headerTimeoutMs, idleTimeoutMs);
        });
    }

    /** Starts serving. Rejects when an address cannot be bound. */
    async start(): Promise<void> {
        const { callerAddress, ip, readinessAddress } = this.parts.settings;
        await this.hub.listen();
        await this.callerPort.listen(...splitAddress(callerAddress));
        const { metrics, options } = this.parts;
        listenForStatus(readinessAddress, "/-/readiness", () => ({ status: this.isReady() ? 200 : 503 }));
        listenForStatus(`${ip}:${options.metricsPort}`, "/metrics", () => ({
            status: 200,
            type: "text/plain; version=0.0.4",
            text: metrics.print(),
        }));
        this.following.review(this.coordinator.isActive, this.isLinked(), this.lease.reading);
        void this.lease.run();
        this.repeat(TICK_MS, () => this.review());
        this.repeat(REPORT_MS, () => this.reports.send());
        this.repeat(HEARTBEAT_MS, () => this.sendHeartbeat());
    }

    /** Applies changed settings. Returns those that have no effect before this host restarts. */
    applySettings(settings: HostSettings): readonly PendingSetting[] {
        return this.settings.apply(settings);
    }

    /** Stops gracefully. Returns what ended the shutdown, for the log. */
    stop(): Promise<LogFields> {
        this.isStopping = true;
        const { callerPort, parts: { clock, logger } } = this;
        return new GracefulShutdown({ clock, logger, callerPort, resign: () => this.resign() })
            .run(this.settings.current.bounds.graceMs);
    }

    private async resign(): Promise<void> {
        this.coordinator.stop();
        await this.lease.resign().finally(() => this.hub.closeLinks());
    }

    private isReady(): boolean {
        const { directory, routes } = this.state;
        const hasKeys = this.keys.isKnown || this.parts.clock.now() - this.startedAt > READY_WITHOUT_KEYS_MS;
        return !this.isStopping && routes !== undefined && directory.isKnown && hasKeys;
    }

    /** Whether an up-to-date coordinator sends this host all changes. */
    private isLinked(): boolean {
        return this.link.isResponsive && this.currency.isCurrent;
    }

    private becomeCoordinator(
        term: number,
        predecessors: readonly Predecessor[],
        isContinued: boolean,
    ): void {
        this.link.disconnect();
        this.followedTerm = undefined;
        if (isContinued) {
            this.coordinator.resume(term, predecessors);
        }
        else {
            this.coordinator.start(term, predecessors);
        }
    }

    private followCoordinator(lease: CoordinatorLease): void {
        if (this.coordinator.isActive) {
            this.coordinator.stop();
            this.hub.closeLinks();
        }
        this.followedTerm = lease.term;
        this.link.connect(lease.address);
    }

    /** Closes unresponsive links, and follows the store where that is needed. */
    private review(): void {
        this.hub.dropUnresponsive();
        this.link.dropUnresponsive();
        this.following.review(this.coordinator.isActive, this.isLinked(), this.lease.reading);
    }

    private createReport(): HostReport {
        const { current } = this.state.era;
        return { ...this.loads.flush(this.followedTerm), ...(current > 0 && { era: current }) };
    }

    private createFirstReport(): HostReport {
        return { ...this.createReport(), known: this.updates.takeKnownVersions() };
    }

    private sendHeartbeat(): void {
        if (this.coordinator.isActive) {
            this.hosts.record(this.hub.size + 1);
            this.hub.broadcast(this.createHeartbeat());
        }
    }

    private createHeartbeat = (): CoordinatorMessage =>
        createHeartbeat(this.lease, this.hub.size + 1, this.state, this.overload);

    private announceHeld(service: ServiceId, ranges: readonly (readonly [number, number])[]): void {
        this.keys.recordHeld(service, ranges);
        this.hub.broadcast({ kind: "held", service, ranges });
    }

    private repeat(period: Milliseconds, action: () => void): void {
        repeatTask(period, action, this.parts);
    }
}
