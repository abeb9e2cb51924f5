import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { LISTED_HOSTS } from "./hostsService.js";
import { LeavingProbes } from "./leavingProbes.js";
import { LEAVING_PROBES } from "./leavingProbesService.js";
import { ListedHosts } from "./listedHosts.js";

/** Polls the platform's host list, dials the entry hosts on it, and asks pooled servers whether they are leaving. */
export class HostsPlugin extends Plugin {
    override readonly name = "hosts";
    private hosts!: ListedHosts;
    private probes!: LeavingProbes;

    override install(kernel: Kernel): void {
        const peers = kernel.get(PEERS);
        this.hosts = new ListedHosts(
            kernel.clock,
            kernel.get(PLATFORM.HOSTS),
            kernel.settings.pollIntervalMs,
        );
        this.hosts.onListing(hosts => {
            const others = hosts.filter(host => host.role === "entryHost" && host.name !== peers.self.host);
            peers.addSeeds(others.map(host => host.address));
        });
        const configuration = kernel.get(CONFIGURATION);
        this.probes = new LeavingProbes({
            clock: kernel.clock,
            orders: kernel.get(PLATFORM.ORDERS),
            self: { host: peers.self.host, incarnation: peers.self.incarnation },
            getDeclaration: () => configuration.current()?.declaration,
            interval: kernel.settings.pollIntervalMs,
        });
        kernel.provide(LISTED_HOSTS, this.hosts);
        kernel.provide(LEAVING_PROBES, this.probes);
    }

    override async start(): Promise<void> {
        void this.hosts.poll();
        void this.probes.run();
    }

    override async stop(): Promise<void> {
        this.hosts.stop();
        this.probes.stop();
    }
}

plugins.register({ name: "hosts", createPlugin: () => new HostsPlugin() });
