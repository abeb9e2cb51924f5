import type { Clock, Logger, Metrics, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import { fencingTokens } from "@arbutusdoor/policy";
import type { RoutedConfiguration } from "../configuration/routedConfiguration.js";
import type { Predecessor } from "../coordination/predecessor.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { HostReport } from "../links/hostReport.js";
import type { KeyOrders } from "../orders/keyOrders.js";
import type { RowTable } from "../store/rowTable.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { KeyMap } from "./keyMap.js";
import type { KeyPlacement } from "./keyPlacement.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import { ServerLiveness } from "./serverLiveness.js";
import { ServerSpeeds } from "./serverSpeeds.js";
import { ServiceCoordinator } from "./serviceCoordinator.js";
import type { StoreTimeScale } from "./storeTimeScale.js";

/** Ranges whose owner has confirmed its grant: first key and fencing token. */
type HeldRanges = readonly (readonly [first: number, fence: number])[];

/** Interval at which due orders are sent and changes are planned. */
const TICK_MS = 20;

/** Dependencies of the coordinator of keyed services. */
type CoordinatorParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly orders: KeyOrders;
    readonly table: RowTable<KeyMap>;
    /** Called after a map is committed. */
    readonly onCommitted: (row: WatchedRow<KeyMap>, era: number) => void;
    readonly directory: ServerDirectory;
    /** Absent where every server may own keys. */
    readonly placement?: KeyPlacement;
    readonly getConfiguration: () => RoutedConfiguration | undefined;
    /** The coordinator lease: whether it is valid, and the time since the store last confirmed it. */
    readonly lease: StoreTimeScale & {
        readonly isValid: boolean;
        readonly storeContactAge: Milliseconds;
        /** Era of the store; no order is sent under a term of an earlier one. */
        readonly storeEra: number;
    };
    readonly settings: OwnershipSettings;
    readonly rebalance: RebalanceSettings;
    readonly stripeKeys: number;
    /** Called with ranges that their owners have confirmed: first key and fencing token. */
    readonly onHeld: (service: ServiceId, ranges: readonly (readonly [number, number])[]) => void;
};

/**
 * Coordinates the keyed services while this host holds the coordinator lease. When it loses the store, it goes on renewing grants for a
 * limited time.
 */
export class KeyCoordinator {
    private readonly parts: CoordinatorParts;
    private readonly liveness: ServerLiveness;
    private readonly speeds = new ServerSpeeds();
    private readonly services = new Map<ServiceId, ServiceCoordinator>();
    private term: number | undefined;
    /** Number of coordinations begun; a coordination that is continued in a new era of the store keeps its number. */
    private coordinations = 0;
    private predecessors: readonly Predecessor[] = [];
    private isRenewingOnly = false;

    constructor(parts: CoordinatorParts) {
        this.parts = parts;
        this.liveness = new ServerLiveness(parts.directory, parts.logger);
        // Once the lease has ended, a successor may rely on what an incarnation of a server has released or on its death. Renewals must not
        // reach a later incarnation, which knows nothing of that.
        parts.orders.restrictConnecting(() => parts.lease.isValid);
    }

    /** Whether this host is the coordinator. */
    get isActive(): boolean {
        return this.term !== undefined;
    }

    /** The number of key ranges that wait for an earlier owner, of all services. */
    get waitingRanges(): number {
        return [...this.services.values()].reduce((total, service) => total + service.waitingRanges, 0);
    }

    /** Returns the ranges with earlier owners whose owner has confirmed its grant, by service. */
    listHeld(): readonly { readonly service: ServiceId; readonly ranges: HeldRanges; }[] {
        return [...this.services].map(([service, coordinator]) => ({
            service,
            ranges: coordinator.listHeld(),
        }))
            .filter(({ ranges }) => ranges.length > 0);
    }

    /**
     * Starts to coordinate in a new term.
     *
     * @param predecessors earlier coordinators that may still renew grants
     */
    start(term: number, predecessors: readonly Predecessor[]): void {
        this.abandonOrders();
        this.services.clear();
        this.liveness.forgetRefusals();
        this.coordinations++;
        this.term = term;
        this.predecessors = predecessors;
        this.schedule(this.coordinations);
    }

    /**
     * Continues to coordinate under the lease of a new era of the store: what this host knows is newer than what the store has.
     *
     * @param predecessors earlier coordinators that may still renew grants
     */
    resume(term: number, predecessors: readonly Predecessor[]): void {
        if (this.term === undefined) {
            this.start(term, predecessors);
            return;
        }
        this.term = term;
        this.predecessors = predecessors;
        this.services.forEach(service => service.resume(term));
    }

    /** Stops coordinating: no more orders are sent, and none that has not arrived yet ever will. */
    stop(): void {
        this.abandonOrders();
        this.term = undefined;
        this.services.clear();
    }

    /** Handles a host's report. */
    handleReport(report: HostReport): void {
        const { keys, leaving = [], misdirected, servers, workTimes = [] } = report;
        const left = this.predecessors.filter(before => !this.hasStopped(before, report));
        if (left.length < this.predecessors.length) {
            this.predecessors = left;
            this.services.forEach(service => service.updatePredecessorTime());
        }
        for (const [service, key, requests] of keys) {
            this.services.get(service as ServiceId)?.recordLoad(key, requests);
        }
        const timesByServer = new Map(workTimes);
        const now = this.parts.clock.now();
        for (const [server, answers, totalMs] of servers) {
            // A cold server's work times say nothing of its later speed.
            if (!this.parts.directory.isCold(server as ServerId)) {
                this.speeds.add(server as ServerId, answers, totalMs, timesByServer.get(server) ?? [], now);
            }
        }
        for (const [id, startedAt] of leaving) {
            this.parts.directory.recordAnnouncement({ id: id as ServerId, startedAt }, "report");
        }
        for (const [service, key] of misdirected) {
            this.services.get(service as ServiceId)?.renewSoon(key);
        }
    }

    /** Whether a host's report proves that a predecessor sends no more orders: it has ended, or follows this coordinator. */
    private hasStopped(predecessor: Predecessor, { followedTerm, host, incarnation }: HostReport): boolean {
        const isFollowing = followedTerm !== undefined && this.term !== undefined
            && followedTerm >= this.term;
        return predecessor.host === host && (predecessor.incarnation !== incarnation || isFollowing);
    }

    /** Gives up the orders in progress, since a successor counts from the end of this coordination. */
    private abandonOrders(): void {
        if (this.isActive) {
            this.parts.orders.abandon();
        }
    }

    /** Ticks until the coordination has ended or another one has begun. */
    private schedule(coordination: number): void {
        this.parts.clock.schedule(TICK_MS, () => {
            if (this.term !== undefined && this.coordinations === coordination) {
                this.tick(this.term);
                this.schedule(coordination);
            }
        });
    }

    private tick(term: number): void {
        const { lease, logger, settings } = this.parts;
        const mayMove = lease.isValid;
        if (this.isRenewingOnly === mayMove) {
            this.isRenewingOnly = !mayMove;
            if (!mayMove) {
                logger.log("renewalsOnly", { term, storeAgeMs: Math.round(lease.storeContactAge) });
            }
        }
        if (
            lease.storeContactAge > settings.renewalAuthorityMs || fencingTokens.getEra(term) < lease.storeEra
        ) {
            return;
        }
        for (const { id, isKeyed } of this.parts.getConfiguration()?.services ?? []) {
            if (isKeyed && !this.services.has(id)) {
                this.services.set(id, this.createServiceCoordinator(id, term));
            }
        }
        this.services.forEach(service => service.tick(mayMove));
    }

    private createServiceCoordinator(service: ServiceId, term: number): ServiceCoordinator {
        const { coordinations } = this;
        return new ServiceCoordinator({
            ...this.parts,
            service,
            term,
            liveness: this.liveness,
            speeds: this.speeds,
            isCurrent: () => this.term !== undefined && this.coordinations === coordinations,
            getPredecessors: () => this.predecessors,
        });
    }
}
