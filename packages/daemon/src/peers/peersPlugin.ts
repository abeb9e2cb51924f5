import type { DataCentreId, HostId } from "@arbutusdoor/common";
import { createIncarnation } from "../kernel/createIncarnation.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { Peers } from "./peers.js";
import { PEERS } from "./peersService.js";

/** Connects this entry host to the others. */
export class PeersPlugin extends Plugin {
    override readonly name = "peers";
    private peers!: Peers;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, random, settings } = kernel;
        const host = settings.host as HostId;
        const self = {
            host,
            incarnation: createIncarnation(host, clock.wallTime(), random),
            dataCentre: settings.dataCentre as DataCentreId,
            address: `${settings.advertise ?? settings.listen}:${settings.peerPort}`,
        };
        this.peers = new Peers({
            self,
            listen: { host: settings.listen, port: settings.peerPort },
            seeds: settings.seeds.filter(seed => seed !== self.address),
            clock,
            random,
            logger,
            metrics,
            settings: settings.groups.mesh,
            ...(settings.peerToken === undefined ? {} : { secret: settings.peerToken }),
        });
        metrics.gauge("arbutusdoor_peers", () => this.peers.list().length);
        kernel.provide(PEERS, this.peers);
    }

    override start(): Promise<void> {
        return this.peers.start();
    }

    override stop(): Promise<void> {
        return this.peers.close();
    }
}

plugins.register({ name: "peers", createPlugin: () => new PeersPlugin() });
