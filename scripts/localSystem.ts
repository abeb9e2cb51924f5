import { ChildProgram } from "./childProgram.js";
import { getFreePorts } from "./getFreePorts.js";

const DIST = new URL("../packages/", import.meta.url).pathname;
const OPERATOR_TOKEN = "local-operators-token";
const PEER_TOKEN = "local-peers-shared-token";
const PORTS_PER_DAEMON = 4;

/** An entry host of a local system. */
type LocalDaemon = {
    readonly name: string;
    readonly dataCentre: string;
    readonly program: ChildProgram;
    readonly callers: string;
    readonly operators: string;
    readonly monitor: string;
    readonly peers: string;
    readonly seeds: readonly string[];
};

/** A backend server of a local system. */
type LocalServer = {
    readonly name: string;
    readonly program: ChildProgram;
    readonly address: string;
    /** IP number and port where faults are set and the journal is read, also while the server is frozen or down. */
    readonly control: string;
    readonly flags: readonly string[];
};

/** Stand-ins, daemons and backend servers as processes on the loopback address, for the demo and the process tests. */
export class LocalSystem {
    readonly daemons = new Map<string, LocalDaemon>();
    readonly servers = new Map<string, LocalServer>();
    readonly platform = new Map<string, LocalServer>();
    readonly operatorToken = OPERATOR_TOKEN;
    private readonly flags: readonly string[];

    /** @param flags further flags of every daemon */
    constructor(flags: readonly string[] = []) {
        this.flags = flags;
    }

    /** Starts the table service, the object store and the host list. */
    async startPlatform(): Promise<void> {
        for (const name of ["tableService", "objectStore", "hostList"]) {
            this.platform.set(name, await this.startStandIn(name, `${name}Main.js`, []));
        }
    }

    /** Starts a backend server on a free or a given port. */
    async startServer(name: string, flags: readonly string[], port = 0): Promise<LocalServer> {
        const all = ["--server", name, ...flags];
        const started = await this.startStandIn(name, "backendServerMain.js", all, port);
        const server = { ...started, flags };
        this.servers.set(name, server);
        return server;
    }

    /** Starts daemons that know each other as seeds, and waits until they listen. */
    async startDaemons(
        hosts: readonly { readonly name: string; readonly dataCentre: string; }[],
    ): Promise<void> {
        const ports = await getFreePorts(hosts.length * PORTS_PER_DAEMON);
        const seeds = hosts.map((_, index) => `127.0.0.1:${ports[index * PORTS_PER_DAEMON + 2]}`);
        for (const [index, { name, dataCentre }] of hosts.entries()) {
            const own = ports.slice(index * PORTS_PER_DAEMON, (index + 1) * PORTS_PER_DAEMON);
            this.startDaemon(name, dataCentre, own, seeds);
        }
        await Promise.all(
            [...this.daemons.values()].map(daemon => daemon.program.waitForLine(/"number":100,/)),
        );
    }

    /** Starts one daemon that dials the daemons that run already, and waits until it listens. */
    async addDaemon(name: string, dataCentre: string): Promise<LocalDaemon> {
        const ports = await getFreePorts(PORTS_PER_DAEMON);
        const seeds = [...this.daemons.values()].map(daemon => daemon.peers);
        const daemon = this.startDaemon(name, dataCentre, ports, seeds);
        await daemon.program.waitForLine(/"number":100,/);
        return daemon;
    }

    /** Starts a daemon that has ended again, at its ports, and waits until it listens. */
    async restartDaemon(name: string): Promise<LocalDaemon> {
        const { dataCentre, callers, operators, peers, monitor, seeds } = this.daemons.get(name)!;
        const ports = [callers, operators, peers, monitor].map(address => Number(address.split(":")[1]));
        const daemon = this.startDaemon(name, dataCentre, ports, seeds);
        await daemon.program.waitForLine(/"number":100,/);
        return daemon;
    }

    /** Starts a backend server that has ended again, at its port. */
    async restartServer(name: string): Promise<LocalServer> {
        const { address, flags } = this.servers.get(name)!;
        return await this.startServer(name, flags, Number(address.split(":")[1]));
    }

    /** Address of a part of the platform. */
    getPlatformAddress(name: string): string {
        return this.platform.get(name)!.address;
    }

    /** Sets fault switches of a stand-in. */
    async setFaults(address: string, faults: object): Promise<void> {
        await fetch(`http://${address}/faults`, { method: "POST", body: JSON.stringify(faults) });
    }

    /** Stops everything that still runs: daemons, then servers, then the platform. */
    async stop(): Promise<void> {
        for (const group of [this.daemons, this.servers, this.platform]) {
            await Promise.all([...group.values()].map(({ program }) => program.stop()));
        }
    }

    private startDaemon(
        name: string,
        dataCentre: string,
        ports: readonly number[],
        seeds: readonly string[],
    ): LocalDaemon {
        const [callers, operators, peers, monitor] = ports;
        const flags = [
            ...["--host", name, "--data-centre", dataCentre],
            ...["--caller-port", String(callers), "--operator-port", String(operators)],
            ...["--peer-port", String(peers), "--monitor-port", String(monitor)],
            ...["--table-service", `http://${this.getPlatformAddress("tableService")}`],
            ...["--object-store", `http://${this.getPlatformAddress("objectStore")}`],
            ...["--host-list", `http://${this.getPlatformAddress("hostList")}`],
            ...["--seeds", seeds.join(",")],
            ...this.flags,
        ];
        const program = new ChildProgram(name, `${DIST}daemon/dist/main.js`, flags, {
            ARBUTUSDOOR_OPERATOR_TOKEN: OPERATOR_TOKEN,
            ARBUTUSDOOR_PEER_TOKEN: PEER_TOKEN,
        });
        const at = (port: number | undefined) => `127.0.0.1:${port}`;
        const daemon = {
            name,
            dataCentre,
            program,
            callers: at(callers),
            operators: at(operators),
            peers: at(peers),
            monitor: at(monitor),
            seeds,
        };
        this.daemons.set(name, daemon);
        return daemon;
    }

    private async startStandIn(
        name: string,
        file: string,
        flags: readonly string[],
        port = 0,
    ): Promise<LocalServer> {
        const place = ["--host", "127.0.0.1", "--port", String(port)];
        const program = new ChildProgram(name, `${DIST}standins/dist/${file}`, [...place, ...flags]);
        const line = await program.waitForLine(/"address"/);
        const { address, controlAddress } = JSON.parse(line) as { address: string; controlAddress: string; };
        return { name, program, address, control: controlAddress, flags };
    }
}
