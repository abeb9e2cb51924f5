import {
    type DataCentreId,
    type HostId,
    type HostIncarnation,
    type LogEvent,
    type LogFields,
    Logger,
    ManualClock,
    Metrics,
    type Milliseconds,
    RandomSource,
} from "@arbutusdoor/common";
import { once } from "node:events";
import { createServer } from "node:net";
import type { AddressInfo } from "node:net";
import { setTimeout } from "node:timers/promises";
import type { CallerLimits } from "../../src/configuration/callerLimits.js";
import type { OperatorEntry } from "../../src/configuration/operatorEntry.js";
import type { CoordinatorLease } from "../../src/coordination/coordinatorLease.js";
import type { RegisteredServer } from "../../src/discovery/registeredServer.js";
import type { GatewayAdapters } from "../../src/host/gatewayAdapters.js";
import { GatewayHost } from "../../src/host/gatewayHost.js";
import type { KeyMap } from "../../src/ownership/keyMap.js";
import type { HostSettings } from "../../src/settings/hostSettings.js";
import { HeldBackends } from "./heldBackends.js";
import { HostClock } from "./hostClock.js";
import { HostRowTable } from "./hostRowTable.js";
import { MemoryRowTable } from "./memoryRowTable.js";
import { ScriptedRows } from "./scriptedRows.js";
import type { ServerNetwork } from "./serverNetwork.js";
import { SimulatedOrders } from "./simulatedOrders.js";

const STEP_MS = 10;
/** Real time of each step, in which messages between the hosts arrive. */
const STEP_REAL_MS = 2;
const LIMITS: CallerLimits = {
    headerBytes: 16_384,
    bodyBytes: 65_536,
    headerTimeoutMs: 10_000,
    idleTimeoutMs: 10_000,
};
const NO_SERVERS: ServerNetwork = {
    findListening: () => undefined,
    apply: () => ({ kind: "unknown", reason: "none" }),
    applyAt: () => ({ kind: "unknown", reason: "none" }),
    takeLateness: () => undefined,
    refusing: new Set(),
};

/** One of the hosts, with its own faults on the way to the store. */
type PairedHost = {
    readonly host: GatewayHost;
    readonly settings: HostSettings;
    /** Log lines, by event. */
    readonly lines: readonly { readonly event: LogEvent; readonly fields: LogFields; }[];
    /** Addresses of the store in the order in which they were taken over. */
    readonly storeAddresses: readonly string[];
    readonly configuration: ScriptedRows<OperatorEntry>;
    readonly servers: ScriptedRows<RegisteredServer>;
    readonly leases: HostRowTable<CoordinatorLease>;
};

/** Two hosts on the loopback network with real links, over a store in memory and on a manual clock. The first one coordinates. */
export class HostPair {
    readonly clock = new ManualClock(1_000);
    readonly hosts: readonly PairedHost[] = [];
    private readonly leases = new MemoryRowTable<CoordinatorLease>(this.clock);
    private readonly maps = new MemoryRowTable<KeyMap>(this.clock);
    private readonly adopted: {
        readonly host: number;
        readonly version: number;
        readonly at: Milliseconds;
    }[] = [];

    /** Starts both hosts and waits until the second one is linked to the first. */
    async start(): Promise<void> {
        const linkPort = await findFreePort();
        for (const number of [1, 2]) {
            const hosts = this.hosts as PairedHost[];
            hosts.push(this.createHost(number, linkPort));
            hosts.at(-1)!.configuration.put("config", createConfiguration(1));
            await hosts.at(-1)!.host.start();
            await this.advance(2_000);
        }
    }

    /** Writes a configuration to the store. */
    configure(version: number): void {
        this.hosts.forEach(({ configuration }) => configuration.put("config", createConfiguration(version)));
    }

    /** Returns when a host has adopted a configuration; infinite when it has not. */
    getAdoption(host: number, version: number): Milliseconds {
        return this.adopted.find(entry => entry.host === host && entry.version === version)?.at ?? Infinity;
    }

    async advance(duration: Milliseconds): Promise<void> {
        const end = this.clock.now() + duration;
        while (this.clock.now() < end) {
            this.clock.advance(STEP_MS);
            await setTimeout(STEP_REAL_MS);
        }
    }

    private createHost(number: number, linkPort: number): PairedHost {
        const { clock } = this;
        const ip = `127.0.0.${number}`;
        const logger = new Logger(clock, `host-${number}`, "silent");
        const lines: { event: LogEvent; fields: LogFields; }[] = [];
        const storeAddresses: string[] = [];
        logger.onEvent((event, fields) => {
            lines.push({ event, fields });
            if (event === "configurationAdopted") {
                this.adopted.push({ host: number, version: fields["version"] as number, at: clock.now() });
            }
        });
        const configuration = new ScriptedRows<OperatorEntry>(clock);
        const servers = new ScriptedRows<RegisteredServer>(clock);
        const leases = new HostRowTable(this.leases);
        const adapters: GatewayAdapters = {
            configuration,
            servers,
            keys: new HostRowTable(this.maps),
            leases,
            orders: new SimulatedOrders(clock, new HostClock(clock), NO_SERVERS, new Set()),
            backends: new HeldBackends(),
            callerHeaders: {
                readRequestHeaders: () => ({ id: undefined, timeoutMs: undefined, key: undefined }),
                createRetryHeaders: () => ({}),
            },
            moveStore: address => storeAddresses.push(address),
        };
        const settings: HostSettings = {
            host: `host-${number}` as HostId,
            ip,
            dataCentre: "north" as DataCentreId,
            callerAddress: `${ip}:0`,
            readinessAddress: `${ip}:0`,
            linkPort,
            storeAddress: "unused",
            descriptorLimit: 1_000,
            memoryBytes: 1e9,
            processorCores: 1,
            bounds: {
                drainMs: 2_000,
                applyMs: 2_000,
                graceMs: 6_000,
                maxHoldMs: 10_000,
                retryShare: 0.2,
                retryWindowMs: 10_000,
                retryAllowance: 50,
            },
        };
        const host = new GatewayHost({
            settings,
            options: { stripeKeys: 128, holdMs: 9_000, admission: "servers", metricsPort: 0, spill: "cost" },
            incarnation: `host-${number}-1` as HostIncarnation,
            clock,
            random: new RandomSource(number),
            logger,
            metrics: new Metrics(),
            adapters,
        });
        return { host, settings, lines, storeAddresses, configuration, servers, leases };
    }
}

function createConfiguration(version: number): OperatorEntry {
    return { kind: "configuration", configuration: { version, routes: [], services: [], limits: LIMITS } };
}

/** Returns a port that is free on the addresses of both hosts. */
async function findFreePort(): Promise<number> {
    const server = createServer().listen(0, "0.0.0.0");
    await once(server, "listening");
    const { port } = server.address() as AddressInfo;
    server.close();
    await once(server, "close");
    return port;
}
