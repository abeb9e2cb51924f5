import type { ServerId } from "@arbutusdoor/common";
import { StallMeter } from "@arbutusdoor/policy";
import { LOAD_TRACKER } from "../balance/loadTrackerService.js";
import { CONFIGURATION } from "../configuration/configurationService.js";
import { LISTED_HOSTS } from "../hosts/hostsService.js";
import { LEAVING_PROBES } from "../hosts/leavingProbesService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { OWNERSHIP } from "../ownership/ownershipService.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { HostPoolView } from "../routing/hostPoolView.js";
import { KeyedRouter } from "../routing/keyedRouter.js";
import { OwnerWait } from "../routing/ownerWait.js";
import { PooledRouter } from "../routing/pooledRouter.js";
import { RetryRules } from "../routing/retryRules.js";
import { ServiceRouter } from "../routing/serviceRouter.js";
import { LocalRelay } from "./localRelay.js";
import { ROUTER } from "./routerService.js";
import { ServerDispatcher } from "./serverDispatcher.js";
import { ServerSender } from "./serverSender.js";

/** Sends requests from this host to backend servers, directly or through peers. */
export class ServingPlugin extends Plugin {
    override readonly name = "serving";
    private kernel!: Kernel;
    private dispatcher!: ServerDispatcher;
    private relay!: LocalRelay;
    private pooled!: PooledRouter;

    override install(kernel: Kernel): void {
        const { clock, metrics, random, settings, shutdown } = kernel;
        const { groups } = settings;
        const peers = kernel.get(PEERS);
        const ownership = kernel.get(OWNERSHIP);
        const configuration = kernel.get(CONFIGURATION);
        const getDeclaration = () => configuration.current()?.declaration;
        const sender = new ServerSender(clock, metrics, kernel.get(PLATFORM.TRAFFIC));
        const retryRules = new RetryRules(clock, groups.retry);
        const ownerWait = new OwnerWait(
            clock,
            metrics,
            ownership,
            settings.heldRequestLimit,
            settings.ownerWaitMs,
        );
        const stalls = new StallMeter(clock);
        this.kernel = kernel;
        this.dispatcher = new ServerDispatcher({
            clock,
            metrics,
            serving: ownership,
            sender,
            queueSettings: groups.queue,
            stalls,
            loadTracker: kernel.get(LOAD_TRACKER),
            requestsOverSlots: settings.requestsOverSlots,
            shutdown,
        });
        this.relay = new LocalRelay(clock, peers, this.dispatcher, getDeclaration);
        const keyed = new KeyedRouter(clock, ownership, this.relay, ownerWait, retryRules, shutdown);
        this.pooled = new PooledRouter({
            clock,
            metrics,
            random,
            sender,
            retryRules,
            view: new HostPoolView(
                configuration,
                kernel.get(LISTED_HOSTS),
                kernel.get(LEAVING_PROBES),
                peers,
            ),
            pickerSettings: groups.pool,
            queueSettings: groups.queue,
            stalls,
            shutdown,
        });
        kernel.provide(ROUTER, new ServiceRouter(keyed, this.pooled));
    }

    override async start(): Promise<void> {
        const traffic = this.kernel.get(PLATFORM.TRAFFIC);
        const configuration = this.kernel.get(CONFIGURATION);
        this.kernel.get(PEERS).onRelayed((_peer, request, body, signal) =>
            this.relay.serve(request, body, signal)
        );
        configuration.manager.onAdopted(({ declaration }) => {
            this.dispatcher.retain(new Set(declaration.servers.map(server => server.name as ServerId)));
            this.pooled.retain(new Set(declaration.services.map(service => service.name)));
            declaration.servers.forEach(server =>
                traffic.limitConnections(server.address, server.connections)
            );
        });
    }

    override drain(): Promise<void> {
        return this.dispatcher.drain();
    }
}

plugins.register({ name: "serving", createPlugin: () => new ServingPlugin() });
