import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { LISTED_HOSTS } from "./hostsService.js";
import { ListedHosts } from "./listedHosts.js";

/** Reads the platform's host list and dials the entry hosts on it. */
export class HostsPlugin extends Plugin {
    override readonly name = "hosts";
    private hosts!: ListedHosts;

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
        kernel.provide(LISTED_HOSTS, this.hosts);
    }

    override async start(): Promise<void> {
        void this.hosts.poll();
    }

    override async stop(): Promise<void> {
        this.hosts.stop();
    }
}

plugins.register({ name: "hosts", newPlugin: () => new HostsPlugin() });
