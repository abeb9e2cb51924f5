import type { HostId, ServiceId, Timer } from "@arbutusdoor/common";
import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { OWNERSHIP } from "../ownership/ownershipService.js";
import { PEERS } from "../peers/peersService.js";
import { Balancer } from "./balancer.js";
import { LoadMessage } from "./loadMessage.js";
import { LoadTracker } from "./loadTracker.js";
import { LOAD_TRACKER } from "./loadTrackerService.js";

const TOPIC = "load";

/** Reports this host's load to the coordinator and, on the coordinator, plans moves that balance the load. */
export class BalancePlugin extends Plugin {
    override readonly name = "balance";
    private kernel!: Kernel;
    private loadTracker!: LoadTracker;
    private balancer!: Balancer;
    private readonly timers = new Map<string, Timer>();

    override install(kernel: Kernel): void {
        const { clock, metrics, settings } = kernel;
        const { balance, load, plan } = settings.groups;
        this.kernel = kernel;
        this.loadTracker = new LoadTracker(clock, balance, load);
        this.balancer = new Balancer({
            clock,
            metrics,
            ownership: kernel.get(OWNERSHIP),
            loadTracker: this.loadTracker,
            settings: balance,
            planSettings: plan,
        });
        kernel.provide(LOAD_TRACKER, this.loadTracker);
    }

    override async start(): Promise<void> {
        const { balance } = this.kernel.settings.groups;
        this.kernel.get(PEERS).onTopic(TOPIC, (peer, content) => this.handleReport(peer.host, content));
        this.kernel.get(CONFIGURATION).manager.onAdopted(({ declaration }) =>
            this.loadTracker.retain(new Set(declaration.services.map(service => service.name as ServiceId)))
        );
        this.repeat("report", balance.reportIntervalMs, () => this.report());
        this.repeat("plan", balance.planIntervalMs, () => this.plan());
    }

    override async stop(): Promise<void> {
        this.timers.forEach(timer => timer.cancel());
    }

    private report(): void {
        const peers = this.kernel.get(PEERS);
        const { coordinators, self } = this.kernel.get(OWNERSHIP).state;
        const coordinator = coordinators[self.dataCentre]?.identity.host;
        if (coordinator !== undefined && coordinator !== self.host) {
            this.loadTracker.listLocal().forEach(message => peers.send(coordinator, TOPIC, message));
        }
    }

    private handleReport(host: HostId, content: unknown): void {
        const message = LoadMessage.safeParse(content);
        if (message.success) {
            this.loadTracker.recordReport(host, message.data.service, message.data.report);
        }
    }

    private plan(): void {
        const declaration = this.kernel.get(CONFIGURATION).current()?.declaration;
        if (declaration) {
            this.balancer.plan(declaration);
        }
    }

    private repeat(name: string, interval: number, action: () => void): void {
        const run = () => {
            this.timers.set(name, this.kernel.clock.schedule(interval, run));
            action();
        };
        this.timers.set(name, this.kernel.clock.schedule(interval, run));
    }
}

plugins.register({ name: "balance", createPlugin: () => new BalancePlugin() });
