import {
    type HostId,
    type HostIncarnation,
    Logger,
    ManualClock,
    Metrics,
    type Milliseconds,
    RandomSource,
    type ServiceId,
} from "@arbutusdoor/common";
import type { CoordinatorLease } from "../../src/coordination/coordinatorLease.js";
import { LeaseManager } from "../../src/coordination/leaseManager.js";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import { ServerDirectory } from "../../src/discovery/serverDirectory.js";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import { REBALANCE } from "../../src/host/rebalance.js";
import { KeyCoordinator } from "../../src/ownership/keyCoordinator.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { OwnershipSettings } from "../../src/ownership/ownershipSettings.js";
import type { RowsOrigin } from "../../src/store/rowsOrigin.js";
import { StoreAvailability } from "../../src/store/storeAvailability.js";
import { StoreEra } from "../../src/store/storeEra.js";
import { TableView } from "../../src/store/tableView.js";
import { createHolder } from "./createHolder.js";
import { createKeyedConfiguration } from "./createKeyedConfiguration.js";
import { createRegisteredServer } from "./createRegisteredServer.js";
import { createStripedMap } from "./createStripedMap.js";
import { HostClock } from "./hostClock.js";
import { HostRowTable } from "./hostRowTable.js";
import { MemoryRowTable } from "./memoryRowTable.js";
import { OwnershipChecker } from "./ownershipChecker.js";
import { SimulatedNetwork } from "./simulatedNetwork.js";
import { SimulatedOrders } from "./simulatedOrders.js";
import { SimulatedRegistry } from "./simulatedRegistry.js";

const SERVICE = "board" as ServiceId;
const HOLD_MS = 9_000;
const STEP_MS = 5;
/** Microtask turns per step, enough for promises that wait for each other. */
const MICROTASK_TURNS = 12;
const ADDRESS = "10.0.0.1:80";

/** A host that may coordinate. */
type RunningHost = {
    readonly incarnationNumber: number;
    readonly clock: HostClock;
    readonly leases: HostRowTable<CoordinatorLease>;
    readonly maps: HostRowTable<KeyMap>;
    readonly servers: TableView<RegisteredServer>;
    readonly orders: SimulatedOrders;
    readonly lease: LeaseManager;
    readonly coordinator: KeyCoordinator;
    /** Term of the coordinator that the host follows; `undefined` while it follows none. */
    followedTerm: number | undefined;
};

/** Simulates hosts with real lease managers and coordinators, over a store, a registry and servers in memory, on a manual clock. */
export class SimulatedCluster {
    readonly checker = new OwnershipChecker();
    /** Host and number of each term, in the order of their beginning. */
    readonly terms: string[] = [];
    readonly maps: MemoryRowTable<KeyMap>;
    readonly leases: MemoryRowTable<CoordinatorLease>;
    served = 0;
    private readonly clock = new ManualClock();
    private readonly network = new SimulatedNetwork(this.checker, this.clock);
    private readonly keys: number;
    private readonly settings: OwnershipSettings;
    private readonly hosts = new Map<string, RunningHost>();
    private readonly registry = new SimulatedRegistry();
    /** Ids of the servers from which each host is partitioned so that orders are held, by host name. */
    private readonly partitions = new Map<string, Set<string>>();
    /** Orders of all processes of hosts, by host name; what an ended process has sent may still be held. */
    private readonly senders = new Map<string, SimulatedOrders[]>();
    /**
     * @param owners initial owner of each key
     * @param settings settings of key ownership that differ from the usual ones
     */
    constructor(owners: readonly string[], settings: Partial<OwnershipSettings> = {}) {
        this.settings = { ...createOwnershipSettings(HOLD_MS, HOLD_MS), ...settings };
        this.keys = owners.length;
        this.leases = new MemoryRowTable<CoordinatorLease>(this.clock);
        this.maps = new MemoryRowTable<KeyMap>(this.clock);
        new Set(owners).forEach(id => this.startServer(id));
        void this.maps.write(SERVICE, 0, createStripedMap(owners.map(id => createHolder(id)), 0));
    }

    /** Sets how long after their arrival orders without an answer are carried out; `undefined` for those that are answered. */
    setLateness(takeLateness: () => Milliseconds | undefined): void {
        this.network.takeLateness = takeLateness;
    }

    /** Starts a host, also a new incarnation of one. */
    startHost(name: string): void {
        const incarnationNumber = (this.hosts.get(name)?.incarnationNumber ?? 0) + 1;
        const clock = new HostClock(this.clock);
        const logger = new Logger(clock, name, "silent");
        const leases = new HostRowTable(this.leases, clock);
        const maps = new HostRowTable(this.maps, clock);
        const servers = new TableView<RegisteredServer>();
        const directory = new ServerDirectory(servers, clock);
        const era = new StoreEra();
        servers.applySnapshot(this.registry.list(), this.registry.version, this.createOrigin());
        const { settings } = this;
        const orders = new SimulatedOrders(this.clock, clock, this.network, this.getPartition(name));
        this.senders.set(name, [...(this.senders.get(name) ?? []), orders]);
        const lease: LeaseManager = new LeaseManager({
            host: name as HostId,
            incarnation: `${name}-${incarnationNumber}` as HostIncarnation,
            address: `${name}:1`,
            table: leases,
            availability: new StoreAvailability(clock, new RandomSource(2)),
            clock,
            random: new RandomSource(this.hosts.size),
            logger,
            era,
            needsCoordinator: () => true,
            isEligible: () => true,
            claimDelayMs: 0,
            renewalAuthorityMs: settings.renewalAuthorityMs,
            onAcquired: (term, predecessors, isContinued) => {
                this.terms.push(`${name} ${term}`);
                if (isContinued) {
                    coordinator.resume(term, predecessors);
                }
                else {
                    coordinator.start(term, predecessors);
                }
            },
            onOtherCoordinator: ({ term }) => {
                coordinator.stop();
                host.followedTerm = term;
            },
        });
        const coordinator = new KeyCoordinator({
            clock,
            logger,
            metrics: new Metrics(),
            orders,
            table: maps,
            onCommitted: () => undefined,
            directory,
            getConfiguration: () => createKeyedConfiguration(SERVICE),
            lease,
            settings,
            rebalance: REBALANCE,
            stripeKeys: 1,
            onHeld: () => undefined,
        });
        const host: RunningHost = {
            incarnationNumber,
            clock,
            leases,
            maps,
            servers,
            orders,
            lease,
            coordinator,
            followedTerm: undefined,
        };
        this.hosts.set(name, host);
        void lease.run();
    }

    /** Name of the host that became the coordinator last; `undefined` before the first one. */
    get lastCoordinator(): string | undefined {
        return this.terms.at(-1)?.split(" ")[0];
    }

    /** Stops a host gracefully: it gives up the lease. */
    stopHost(name: string): void {
        const { coordinator, lease } = this.find(name);
        coordinator.stop();
        void lease.resign();
    }

    /** Ends a host's process without notice. */
    crashHost(name: string): void {
        const { coordinator, lease, leases, maps, orders } = this.find(name);
        orders.end();
        leases.isCutOff = true;
        maps.isCutOff = true;
        coordinator.stop();
        void lease.resign();
    }

    /** Partitions a host from the store, or ends the partition. */
    setStoreCut(name: string, isCut: boolean): void {
        const { leases, maps } = this.find(name);
        leases.isCutOff = isCut;
        maps.isCutOff = isCut;
        if (!isCut) {
            this.showRegistry(this.find(name));
        }
    }

    /** Partitions servers from a host, or ends the partition. */
    setServersCut(name: string, ids: readonly string[], isCut: boolean): void {
        const { unreachable } = this.find(name).orders;
        ids.forEach(id => isCut ? unreachable.add(id) : unreachable.delete(id));
    }

    /** Partitions a host from servers so that orders over open connections are held until they are given up. */
    beginPartition(name: string, ids: readonly string[]): void {
        ids.forEach(id => this.getPartition(name).add(id));
    }

    /**
     * Ends the partition of a host from all servers.
     *
     * @param takeDelay returns how long after the end of the partition the next attempt to send an order follows
     */
    endPartition(name: string, takeDelay: () => Milliseconds): void {
        this.getPartition(name).clear();
        this.senders.get(name)?.forEach(orders => orders.deliverHeld(takeDelay));
    }

    /** Returns the number of orders of a host's newest process that a partition holds. */
    countHeldOrders(name: string): number {
        return this.find(name).orders.heldOrders;
    }

    /** Lets a host's process stand still. */
    pauseHost(name: string, duration: Milliseconds): void {
        const host = this.find(name);
        host.clock.pause(duration);
        this.clock.schedule(duration, () => this.showRegistry(host));
    }

    /** Sends a report from one host to another. */
    report(
        from: string,
        to: string,
        loads: readonly (readonly [key: number, requests: number])[] = [],
    ): void {
        if (this.find(from).clock.isPaused || this.find(to).clock.isPaused) {
            return;
        }
        const { followedTerm, incarnationNumber } = this.find(from);
        const report = {
            kind: "report",
            host: from,
            incarnation: `${from}-${incarnationNumber}`,
            followedTerm,
            servers: [],
            misdirected: [],
        } as const;
        this.find(to).coordinator.handleReport({
            ...report,
            keys: loads.map(([key, requests]) => [SERVICE, key, requests]),
            servers: [],
            misdirected: [],
        });
    }

    /** Starts a server, also a new incarnation of one. */
    startServer(id: string): void {
        this.startProcess(id, this.network.findNewest(id)?.address ?? ADDRESS);
        this.register(id, this.createEntry(id));
    }

    /** Starts a server's process, also a new incarnation of one; its registry entry does not change. */
    startProcess(id: string, address: string): void {
        this.network.start(id, address);
    }

    /** Returns the registry entry of the newest incarnation of a server. */
    createEntry(id: string): RegisteredServer {
        const { address, holder: { startedAt } } = this.network.findNewest(id)!;
        return createRegisteredServer(id, { startedAt, address });
    }

    /** Ends a server; its registry entry stays. */
    endServer(id: string): void {
        this.network.findNewest(id)!.isUp = false;
    }

    /** Gives the address of an ended server to one of another service. */
    reuseAddress(id: string, address = this.network.findNewest(id)!.address): void {
        this.network.reused.add(`${id} ${address}`);
    }

    /** Lets connections from all hosts to a server be refused although it runs, or ends that. */
    setServerRefusing(id: string, isRefusing: boolean): void {
        if (isRefusing) {
            this.network.refusing.add(id);
        }
        else {
            this.network.refusing.delete(id);
        }
    }

    /** Changes or removes a server's registry entry, as seen by hosts that reach the store. */
    register(id: string, server: RegisteredServer | undefined): void {
        this.registry.set(id, server, this.clock.now());
        this.hosts.forEach(host => this.showRegistry(host));
    }

    /** Makes the store unavailable, or available again. */
    setStoreDown(isDown: boolean): void {
        this.leases.isDown = isDown;
        this.maps.isDown = isDown;
    }

    /** Lets the store go back to a copy that is at least `age` ms old. Returns the entries that were lost, which their servers write again. */
    restoreStore(age: Milliseconds): ReadonlyMap<string, RegisteredServer | undefined> {
        this.leases.restore(age);
        this.maps.restore(age);
        const lost = this.registry.restore(this.clock.now() - age);
        this.hosts.forEach(host => this.showRegistry(host));
        return lost;
    }

    private showRegistry({ clock, leases, servers }: RunningHost): void {
        if (!leases.isCutOff && !this.leases.isDown && !clock.isPaused) {
            servers.applySnapshot(this.registry.list(), this.registry.version, this.createOrigin());
        }
    }

    private createOrigin(): RowsOrigin {
        const { era } = this.leases;
        return { source: "store", changedAfter: undefined, completeAt: undefined, isAfterOutage: false, era };
    }

    /** Advances time. Returns whether each key has a holder all the while. */
    async isServedFor(duration: Milliseconds): Promise<boolean> {
        const before = this.served;
        await this.run(duration);
        return this.served - before === this.keys * duration;
    }

    /** Advances time; checks the holders of all keys in each step. */
    async run(duration: Milliseconds): Promise<void> {
        for (const end = this.clock.now() + duration; this.clock.now() < end;) {
            this.clock.advance(STEP_MS);
            for (let turn = 0; turn < MICROTASK_TURNS; turn++) {
                await Promise.resolve();
            }
            for (let key = 0; key < this.keys; key++) {
                this.served += this.checker.check(key, this.network.incarnations, this.clock.now())
                    ? STEP_MS
                    : 0;
            }
        }
    }

    private getPartition(name: string): Set<string> {
        const partition = this.partitions.get(name) ?? new Set();
        this.partitions.set(name, partition);
        return partition;
    }

    private find(name: string): RunningHost {
        return this.hosts.get(name)!;
    }
}
