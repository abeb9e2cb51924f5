import type { Clock, Logger, Metrics, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";
import type { RoutedConfiguration } from "../configuration/routedConfiguration.js";
import type { Predecessor } from "../coordination/predecessor.js";
import type { ServerDirectory } from "../discovery/serverDirectory.js";
import type { HostReport } from "../links/hostReport.js";
import type { KeyOrders } from "../orders/keyOrders.js";
import type { RowTable } from "../store/rowTable.js";
import type { WatchedRow } from "../store/watchedRow.js";
import type { KeyMap } from "./keyMap.js";
import type { OwnershipSettings } from "./ownershipSettings.js";
import type { RebalanceSettings } from "./rebalanceSettings.js";
import { ServerLiveness } from "./serverLiveness.js";
import { ServerSpeeds } from "./serverSpeeds.js";
import { ServiceCoordinator } from "./serviceCoordinator.js";

/** Orders and plans are looked at this often. */
const TICK_MS = 20;

/** What the coordinator of keyed services works with. */
type CoordinatorParts = {
    readonly clock: Clock;
    readonly logger: Logger;
    readonly metrics: Metrics;
    readonly orders: KeyOrders;
    readonly table: RowTable<KeyMap>;
    /** A map was committed. */
    readonly onCommitted: (row: WatchedRow<KeyMap>) => void;
    readonly directory: ServerDirectory;
    readonly getConfiguration: () => RoutedConfiguration | undefined;
    /** The lease: whether it is valid, and how long ago the store last confirmed it. */
    readonly lease: { readonly isValid: boolean; readonly storeContactAge: Milliseconds; };
    readonly settings: OwnershipSettings;
    readonly rebalance: RebalanceSettings;
    readonly stripeKeys: number;
    /** Owners have confirmed ranges: first key and fence. */
    readonly onHeld: (service: ServiceId, ranges: readonly (readonly [number, number])[]) => void;
};

/** Gives the keyed services' orders while this host holds the coordinator's lease, and for a while after it lost the store. */
export class KeyCoordinator {
    private readonly parts: CoordinatorParts;
    private readonly evidence: ServerLiveness;
    private readonly speeds = new ServerSpeeds();
    private readonly services = new Map<ServiceId, ServiceCoordinator>();
    private term: number | undefined;
    private predecessors: readonly Predecessor[] = [];
    private isRenewingOnly = false;

    constructor(parts: CoordinatorParts) {
        this.parts = parts;
        this.evidence = new ServerLiveness(parts.directory, parts.logger);
    }

    /** Whether this host coordinates. */
    get isActive(): boolean {
        return this.term !== undefined;
    }

    /**
     * Begins to coordinate in a new term.
     *
     * @param predecessors coordinators that may still renew grants
     */
    start(term: number, predecessors: readonly Predecessor[]): void {
        const wasActive = this.isActive;
        this.services.clear();
        this.term = term;
        this.predecessors = predecessors;
        if (!wasActive) {
            this.schedule();
        }
    }

    /** Sends no more orders. */
    stop(): void {
        this.term = undefined;
        this.services.clear();
    }

    /** Takes a host's report in. */
    handleReport({ host, incarnation, keys, misdirected, servers }: HostReport): void {
        const now = this.parts.clock.now();
        // A host that runs a new process: the one that coordinated has ended.
        const left = this.predecessors.filter(before =>
            before.host !== host || before.incarnation === incarnation
        );
        if (left.length < this.predecessors.length) {
            this.predecessors = left;
            this.services.forEach(service => service.updatePredecessorTime());
        }
        for (const [service, key, requests] of keys) {
            this.services.get(service as ServiceId)?.recordLoad(key, requests);
        }
        for (const [server, answers, totalMs] of servers) {
            this.speeds.add(server as ServerId, answers, totalMs);
            this.evidence.recordAnswer(server as ServerId, now);
        }
        for (const [service, key] of misdirected) {
            this.services.get(service as ServiceId)?.renewSoon(key);
        }
    }

    private schedule(): void {
        this.parts.clock.schedule(TICK_MS, () => {
            if (this.term !== undefined) {
                this.tick(this.term);
                this.schedule();
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
        if (lease.storeContactAge > settings.renewalAuthorityMs) {
            return;
        }
        for (const { id, isKeyed } of this.parts.getConfiguration()?.services ?? []) {
            if (isKeyed && !this.services.has(id)) {
                this.services.set(id, this.newServiceKeeper(id, term));
            }
        }
        this.services.forEach(service => service.tick(mayMove));
    }

    private newServiceKeeper(service: ServiceId, term: number): ServiceCoordinator {
        return new ServiceCoordinator({
            ...this.parts,
            service,
            term,
            liveness: this.evidence,
            speeds: this.speeds,
            isCurrent: () => this.term === term,
            getPredecessors: () => this.predecessors,
        });
    }
}
