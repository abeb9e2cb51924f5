import type { ServerId } from "@arbutusdoor/common";
import type { Declaration } from "@arbutusdoor/configuration";
import type { ConfigurationSync } from "../configuration/configurationSync.js";
import type { LeavingProbes } from "../hosts/leavingProbes.js";
import type { ListedHosts } from "../hosts/listedHosts.js";
import type { Peers } from "../peers/peers.js";
import { PoolView } from "./poolView.js";

/** View of the system that is backed by the other plug-ins of this entry host. */
export class HostPoolView extends PoolView {
    override readonly dataCentre: string;
    private readonly configuration: ConfigurationSync;
    private readonly hosts: ListedHosts;
    private readonly probes: LeavingProbes;
    private readonly peers: Peers;

    constructor(
        configuration: ConfigurationSync,
        hosts: ListedHosts,
        probes: LeavingProbes,
        peers: Peers,
    ) {
        super();
        this.dataCentre = peers.self.dataCentre;
        this.configuration = configuration;
        this.hosts = hosts;
        this.probes = probes;
        this.peers = peers;
    }

    override getDeclaration(): Declaration | undefined {
        return this.configuration.current()?.declaration;
    }

    /** Entry hosts prefer the servers of their own data centre, so the hosts of a data centre share its servers evenly. */
    override getShare(): { hosts: number; position: number; } {
        const { self } = this.peers;
        const nearby = this.peers.list().filter(peer => peer.dataCentre === self.dataCentre);
        const names = [...nearby.map(peer => peer.host), self.host].sort();
        return { hosts: names.length, position: names.indexOf(self.host) };
    }

    override isLeaving(server: ServerId): boolean {
        return this.hosts.isLeaving(server) || this.probes.isLeaving(server);
    }
}
