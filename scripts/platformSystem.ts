import { type ConfiguredService, listForeignEntries, newConfigurationText } from "@arbutusdoor/standins";
import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { ChildProgram } from "./childProgram.js";
import { getFreePorts } from "./getFreePorts.js";
import { LoopbackProxy } from "./loopbackProxy.js";

const ROOT = new URL("../", import.meta.url).pathname;
const LOOPBACK = "127.0.0.1";
const PORTS_PER_HOST = 4;
const DRAIN_MS = 2_500;
const GRACE_MS = 6_000;
const BOUNDS = {
    "drain": `${DRAIN_MS}ms`,
    "grace": `${GRACE_MS}ms`,
    "hold-max": "10000ms",
    "retry-budget-ratio": 0.2,
    "budget-window": "10s",
    "retry-budget-extra": 58,
};

/** A service of a platform system. */
type PlatformService = ConfiguredService & {
    /** Data centre of each of its servers. */
    readonly dataCentres: readonly string[];
    /** Requests that each of its servers runs at a time. */
    readonly slots?: number;
};

/** A program with its control interface, behind a proxy that callers of it use. */
type PlatformProgram = {
    readonly program: ChildProgram;
    readonly control: string;
    readonly proxy: LoopbackProxy;
    readonly flags: readonly string[];
};

/** An entry host with the proxy through which it reaches the store. */
type PlatformHost = {
    readonly program: ChildProgram;
    readonly store: LoopbackProxy;
    readonly callers: string;
    readonly readiness: string;
    readonly ports: readonly number[];
    readonly settings: string;
};

/** The gateway's real program as several hosts, with stand-ins of the platform's store and of backend servers, all on the loopback address. */
export class PlatformSystem {
    /** Host name of all routes. */
    readonly authority = "soak.example";
    /** Time in ms within which hosts have to stop using a leaving server. */
    readonly drainMs = DRAIN_MS;
    /** Time in ms from SIGTERM within which a host has to end. */
    readonly graceMs = GRACE_MS;
    readonly hosts = new Map<string, PlatformHost>();
    readonly servers = new Map<string, PlatformProgram>();
    private readonly services: readonly PlatformService[];
    private readonly hostProgram: string;
    private readonly folder = mkdtempSync(join(tmpdir(), "arbutusdoor-platform-"));
    private storeProgram: ChildProgram | undefined;
    private storeAddress = "";
    private storeControl = "";
    private readonly headerTimeoutMs: number | undefined;
    private version = 0;

    /**
     * @param hostProgram the program of the hosts
     * @param headerTimeoutMs longest time that a caller may take for the head of a request; some seconds by default
     */
    constructor(
        services: readonly PlatformService[],
        hostProgram = `${ROOT}platform/dist/main.js`,
        headerTimeoutMs?: number,
    ) {
        this.services = services;
        this.hostProgram = hostProgram;
        this.headerTimeoutMs = headerTimeoutMs;
    }

    /** Starts the store, all servers and the hosts; each host is given with its data centre. */
    async start(hosts: Readonly<Record<string, string>>): Promise<void> {
        this.storeProgram = newStandIn("store", "rowStoreMain.js", []);
        const { address, controlAddress } = await readAddresses(this.storeProgram);
        this.storeAddress = address;
        this.storeControl = controlAddress;
        await this.configure();
        for (const { dataCentres, isKeyed, name, slots } of this.services) {
            for (const [index, dataCentre] of dataCentres.entries()) {
                const flags = [
                    ...["--service", name, "--data-centre", dataCentre, "--store", controlAddress],
                    ...isKeyed ? ["--keyed"] : [],
                    ...slots === undefined ? [] : ["--slots", String(slots)],
                ];
                await this.startServer(`${name}-${index + 1}`, flags);
            }
        }
        await Promise.all(
            Object.entries(hosts).map(([name, dataCentre]) => this.addHost(name, dataCentre)),
        );
    }

    /** Writes the next version of the operator's configuration. */
    async configure(): Promise<void> {
        this.version += 3;
        const value = newConfigurationText(
            this.version,
            this.authority,
            this.services,
            this.headerTimeoutMs,
        );
        await post(`${this.storeControl}/rows`, { table: "op", key: "config", value });
    }

    /** Writes entries of another writer into the registry, malformed in every way, for each service. */
    async addForeignEntries(): Promise<void> {
        await this.putForeignEntries(text => text);
    }

    /** Removes the entries of another writer. */
    async removeForeignEntries(): Promise<void> {
        await this.putForeignEntries(() => undefined);
    }

    /** Sets fault switches of the store. */
    setStoreFaults(faults: object): Promise<void> {
        return post(`${this.storeControl}/faults`, faults);
    }

    /** Lets the store come back from a copy; the operator writes its configuration again. */
    async restoreStore(ageMs: number): Promise<void> {
        await post(`${this.storeControl}/restore`, { ageMs });
        await this.configure();
    }

    /** Sets fault switches of a server. */
    setServerFaults(name: string, faults: object): Promise<void> {
        return post(`${this.servers.get(name)!.control}/faults`, faults);
    }

    /** Starts a server that has ended again: another life behind the same proxy. */
    restartServer(name: string): Promise<void> {
        return this.startServer(name, this.servers.get(name)!.flags);
    }

    /** Starts a host that has ended again at its ports, and resolves once it listens. */
    async restartHost(name: string): Promise<void> {
        const host = this.hosts.get(name)!;
        const program = this.newHostProgram(name, host);
        this.hosts.set(name, { ...host, program });
        await program.waitForLine(/"event":"processStarted"/);
    }

    /** Kills everything that still runs and removes what was written. */
    async stop(): Promise<void> {
        const parts = [...this.hosts.values(), ...this.servers.values()];
        await Promise.all(
            [this.storeProgram, ...parts.map(({ program }) => program)].map(program => program?.kill()),
        );
        const proxies = [
            ...[...this.hosts.values()].map(({ store }) => store),
            ...[...this.servers.values()].map(({ proxy }) => proxy),
        ];
        await Promise.all(proxies.map(proxy => proxy.stop()));
        rmSync(this.folder, { recursive: true, force: true });
    }

    private async putForeignEntries(getValue: (text: string) => string | undefined): Promise<void> {
        for (const { dataCentres, name } of this.services) {
            for (const [key, text] of listForeignEntries(name, dataCentres[0]!)) {
                await post(`${this.storeControl}/rows`, { table: "servers", key, value: getValue(text) });
            }
        }
    }

    private async startServer(name: string, flags: readonly string[]): Promise<void> {
        const known = this.servers.get(name)?.proxy;
        const proxy = known ?? new LoopbackProxy("");
        if (!known) {
            await proxy.start();
        }
        const all = ["--server", name, "--advertised", proxy.address, ...flags];
        const program = newStandIn(name, "rangeServerMain.js", all);
        const { address, controlAddress } = await readAddresses(program);
        proxy.target = address;
        this.servers.set(name, { program, control: controlAddress, proxy, flags });
    }

    private async addHost(name: string, dataCentre: string): Promise<void> {
        const ports = await getFreePorts(PORTS_PER_HOST);
        const [front, readiness, links] = ports;
        const store = new LoopbackProxy(this.storeAddress);
        await store.start();
        const settings = join(this.folder, `${name}.json`);
        writeFileSync(
            settings,
            JSON.stringify({
                "node-name": name,
                "ip": LOOPBACK,
                "zone": dataCentre,
                "listen": { front: `${LOOPBACK}:${front}`, readiness: `${LOOPBACK}:${readiness}` },
                "internal-ports": [links, links],
                "limits": { "max-fds": 4_096, "memory-mb": 350 },
                "bounds": BOUNDS,
                "provider": { address: store.address },
            }),
        );
        const place = {
            store,
            ports,
            settings,
            callers: `${LOOPBACK}:${front}`,
            readiness: `${LOOPBACK}:${readiness}`,
        };
        const program = this.newHostProgram(name, place);
        this.hosts.set(name, { ...place, program });
        await program.waitForLine(/"event":"processStarted"/);
    }

    private newHostProgram(
        name: string,
        { ports, settings }: Pick<PlatformHost, "ports" | "settings">,
    ): ChildProgram {
        const flags = ["--metrics-port", String(ports[PORTS_PER_HOST - 1])];
        return new ChildProgram(name, this.hostProgram, flags, {
            ARBUTUSDOOR_CONFIG: settings,
        });
    }
}

function newStandIn(name: string, file: string, flags: readonly string[]): ChildProgram {
    return new ChildProgram(name, `${ROOT}packages/standins/dist/${file}`, flags);
}

async function readAddresses(program: ChildProgram): Promise<{ address: string; controlAddress: string; }> {
    const line = await program.waitForLine(/"controlAddress"/);
    return JSON.parse(line) as { address: string; controlAddress: string; };
}

async function post(url: string, value: object): Promise<void> {
    const response = await fetch(`http://${url}`, { method: "POST", body: JSON.stringify(value) });
    await response.text();
    if (!response.ok) {
        throw new Error(`${url} answered ${response.status}`);
    }
}
