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
import type { RoutedConfiguration } from "../../src/configuration/routedConfiguration.js";
import type { CoordinatorLease } from "../../src/coordination/coordinatorLease.js";
import { LeaseManager } from "../../src/coordination/leaseManager.js";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import { ServerDirectory } from "../../src/discovery/serverDirectory.js";
import { createOwnershipSettings } from "../../src/host/createOwnershipSettings.js";
import { REBALANCE } from "../../src/host/rebalance.js";
import type { OrderOutcome } from "../../src/orders/orderOutcome.js";
import { KeyCoordinator } from "../../src/ownership/keyCoordinator.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { KeyOrder } from "../../src/ownership/keyOrder.js";
import { TableView } from "../../src/store/tableView.js";
import { createHolder } from "./createHolder.js";
import { createRegisteredServer } from "./createRegisteredServer.js";
import { HostRowTable } from "./hostRowTable.js";
import { MemoryRowTable } from "./memoryRowTable.js";
import { OwnershipChecker } from "./ownershipChecker.js";
import { SimulatedOrders } from "./simulatedOrders.js";
import { SimulatedServer } from "./simulatedServer.js";

const SERVICE = "board" as ServiceId;
const HOLD_MS = 9_000;
const STEP_MS = 5;
/** Promises that wait for each other settle within a step. */
const TURNS = 12;
const SLOWEST_CLOCK = 0.02;

/** A host that may coordinate. */
type RunningHost = {
    readonly run: number;
    readonly leases: HostRowTable<CoordinatorLease>;
    readonly maps: HostRowTable<KeyMap>;
    readonly servers: TableView<RegisteredServer>;
    readonly orders: SimulatedOrders;
    readonly lease: LeaseManager;
    readonly coordinator: KeyCoordinator;
};

/** Lease keepers and coordinators as on the real hosts, over a store, a registry and servers in memory, on a manual clock. */
export class SimulatedCluster {
    readonly checker = new OwnershipChecker();
    /** Terms as they began. */
    readonly terms: string[] = [];
    readonly maps: MemoryRowTable<KeyMap>;
    served = 0;
    private readonly clock = new ManualClock();
    private readonly leases: MemoryRowTable<CoordinatorLease>;
    private readonly keys: number;
    private readonly hosts = new Map<string, RunningHost>();
    private readonly lives: SimulatedServer[] = [];
    private readonly registry = new Map<string, RegisteredServer>();
    private version = 0;

    /** @param owners server that owns each key at first */
    constructor(owners: readonly string[]) {
        this.keys = owners.length;
        this.leases = new MemoryRowTable<CoordinatorLease>(this.clock);
        this.maps = new MemoryRowTable<KeyMap>(this.clock);
        new Set(owners).forEach(id => this.startServer(id));
        const ranges = owners.map((id, key) => ({
            first: key,
            last: key,
            owner: createHolder(id),
            fence: 1,
            previous: [],
        }));
        void this.maps.write(SERVICE, 0, { term: 0, fence: 1, ranges });
    }

    /** Starts a host, also one that ran before. */
    startHost(name: string): void {
        const run = (this.hosts.get(name)?.run ?? 0) + 1;
        const { clock } = this;
        const logger = new Logger(clock, name, "silent");
        const leases = new HostRowTable(this.leases);
        const maps = new HostRowTable(this.maps);
        const servers = new TableView<RegisteredServer>();
        const directory = new ServerDirectory(servers, clock);
        servers.applySnapshot(this.listRegistry(), this.version);
        const settings = createOwnershipSettings(HOLD_MS, HOLD_MS);
        const orders = new SimulatedOrders(clock, (order, holdMs) => this.apply(order, holdMs));
        const lease: LeaseManager = new LeaseManager({
            host: name as HostId,
            incarnation: `${name}-${run}` as HostIncarnation,
            address: `${name}:1`,
            table: leases,
            clock,
            random: new RandomSource(this.hosts.size),
            logger,
            needsCoordinator: () => true,
            isEligible: () => true,
            renewalAuthorityMs: settings.renewalAuthorityMs,
            onAcquired: (term, predecessors) => {
                this.terms.push(`${name} ${term}`);
                coordinator.start(term, predecessors);
            },
            onOtherCoordinator: () => coordinator.stop(),
        });
        const coordinator = new KeyCoordinator({
            clock,
            logger,
            metrics: new Metrics(),
            orders,
            table: maps,
            onCommitted: () => undefined,
            directory,
            getConfiguration: () => newConfiguration(),
            lease,
            settings,
            rebalance: REBALANCE,
            stripeKeys: 1,
            onHeld: () => undefined,
        });
        this.hosts.set(name, { run, leases, maps, servers, orders, lease, coordinator });
        void lease.run();
    }

    /** Stops a host gracefully: it gives the lease up. */
    stopHost(name: string): void {
        const { coordinator, lease } = this.find(name);
        coordinator.stop();
        void lease.resign();
    }

    /** Ends a host's process without notice. */
    crashHost(name: string): void {
        const { coordinator, lease, leases, maps } = this.find(name);
        leases.isCutOff = true;
        maps.isCutOff = true;
        coordinator.stop();
        void lease.resign();
    }

    /** Cuts a host off from the store, or ends that. */
    setStoreCut(name: string, isCut: boolean): void {
        const { leases, maps, servers } = this.find(name);
        leases.isCutOff = isCut;
        maps.isCutOff = isCut;
        if (!isCut) {
            servers.applySnapshot(this.listRegistry(), this.version);
        }
    }

    /** Cuts servers off from a host, or ends that. */
    setServersCut(name: string, ids: readonly string[], isCut: boolean): void {
        const { cut } = this.find(name).orders;
        ids.forEach(id => isCut ? cut.add(id) : cut.delete(id));
    }

    /** A host reports to another one. */
    report(from: string, to: string): void {
        const incarnation = `${from}-${this.find(from).run}`;
        const report = {
            kind: "report",
            host: from,
            incarnation,
            keys: [],
            servers: [],
            misdirected: [],
        } as const;
        this.find(to).coordinator.handleReport({ ...report, keys: [], servers: [], misdirected: [] });
    }

    /** Starts a server, also a new life of one. */
    startServer(id: string): void {
        const before = this.lives.findLast(({ holder }) => holder.id === id);
        if (before) {
            before.isUp = false;
        }
        const holder = createHolder(id, (before?.holder.startedAt ?? 0) + 1);
        this.lives.push(new SimulatedServer(holder, SLOWEST_CLOCK));
        this.register(id, createRegisteredServer(id, { startedAt: holder.startedAt }));
    }

    /** Ends a server; its entry stays. */
    endServer(id: string): void {
        this.lives.findLast(({ holder }) => holder.id === id)!.isUp = false;
    }

    /** Changes or removes a server's entry, as hosts that are in touch with the store see it. */
    register(id: string, server: RegisteredServer | undefined): void {
        this.version++;
        if (server) {
            this.registry.set(id, server);
        }
        else {
            this.registry.delete(id);
        }
        for (const { leases, servers } of this.hosts.values()) {
            if (!leases.isCutOff) {
                servers.applySnapshot(this.listRegistry(), this.version);
            }
        }
    }

    /** Lets time pass; checks the holders of all keys in each step. */
    async run(duration: Milliseconds): Promise<void> {
        for (const end = this.clock.now() + duration; this.clock.now() < end;) {
            this.clock.advance(STEP_MS);
            for (let turn = 0; turn < TURNS; turn++) {
                await Promise.resolve();
            }
            for (let key = 0; key < this.keys; key++) {
                this.served += this.checker.check(key, this.lives, this.clock.now()) ? STEP_MS : 0;
            }
        }
    }

    private apply(order: KeyOrder, holdMs: Milliseconds): OrderOutcome {
        const now = this.clock.now();
        const server = this.lives.findLast(({ holder }) => holder.id === order.holder.id);
        if (!server?.isUp) {
            return { kind: "notListening" };
        }
        return this.checker.applyOrder(server, order, holdMs, now, now);
    }

    private find(name: string): RunningHost {
        return this.hosts.get(name)!;
    }

    private listRegistry() {
        return [...this.registry].map(([key, value]) => ({
            key,
            version: this.version,
            content: { kind: "value", value } as const,
        }));
    }
}

function newConfiguration(): RoutedConfiguration {
    return {
        version: 1,
        routes: [],
        services: [{ id: SERVICE, maxConnections: 16, isKeyed: true, coldKeysMs: 0 }],
        limits: { headerBytes: 1, bodyBytes: 1, headerTimeoutMs: 1, idleTimeoutMs: 1 } as never,
    };
}
