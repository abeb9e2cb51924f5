import type { Grantor, ServerOrders } from "@arbutusdoor/clients";
import type { Clock, Milliseconds, ServerId, Timer } from "@arbutusdoor/common";
import type { Declaration, Server } from "@arbutusdoor/configuration";

/** Dependencies of the probes. */
type LeavingProbesDependencies = {
    readonly clock: Clock;
    readonly orders: ServerOrders;
    readonly self: Grantor;
    readonly getDeclaration: () => Declaration | undefined;
    /** Time in ms between two probes of a server; also the timeout of a probe. */
    readonly interval: Milliseconds;
};

/**
 * Asks the servers of pooled services whether they are leaving. They get no grants, so no reply to an order says so, and
 * the platform's host list lags behind. A probe is an order without an incarnation, which changes nothing. At most one
 * probe per server is under way.
 */
export class LeavingProbes {
    private readonly dependencies: LeavingProbesDependencies;
    private readonly leaving = new Set<ServerId>();
    private timer: Timer | undefined;
    private isStopped = false;

    constructor(dependencies: LeavingProbesDependencies) {
        this.dependencies = dependencies;
    }

    /** Whether the server's last reply says that it is leaving. */
    isLeaving(server: ServerId): boolean {
        return this.leaving.has(server);
    }

    /** Probes every server immediately and then at each interval, until stopped. */
    async run(): Promise<void> {
        const { clock, interval } = this.dependencies;
        const beganAt = clock.now();
        const servers = listPooled(this.dependencies.getDeclaration());
        this.retain(new Set(servers.map(server => server.name)));
        await Promise.all(servers.map(server => this.probe(server)));
        if (!this.isStopped) {
            const left = Math.max(0, interval - (clock.now() - beganAt));
            this.timer = clock.schedule(left, () => void this.run());
        }
    }

    /** Stops probing. */
    stop(): void {
        this.isStopped = true;
        this.timer?.cancel();
    }

    /** Without a reply, the last known state of the server stays. */
    private async probe({ name, address }: Server): Promise<void> {
        const server = name as ServerId;
        const { orders, self, interval } = this.dependencies;
        const order = { server, from: self, listVersion: 0, epoch: 0, take: [], fence: [] };
        const outcome = await orders.send(address, order, interval);
        if (outcome.kind !== "reply") {
            return;
        }
        if (outcome.reply.isLeaving) {
            this.leaving.add(server);
        }
        else {
            this.leaving.delete(server);
        }
    }

    private retain(servers: ReadonlySet<string>): void {
        for (const server of this.leaving) {
            if (!servers.has(server)) {
                this.leaving.delete(server);
            }
        }
    }
}

function listPooled(declaration: Declaration | undefined): readonly Server[] {
    const { services = [], servers = [] } = declaration ?? {};
    const pooled = new Set(services.filter(service => service.kind === "pooled").map(({ name }) => name));
    return servers.filter(server => pooled.has(server.service));
}
