import type { ConfigurationVersion } from "@arbutusdoor/configuration";
import { createHostState, isResigned } from "@arbutusdoor/ownership";
import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { OwnershipDriver } from "./ownershipDriver.js";
import { OWNERSHIP } from "./ownershipService.js";

const RESIGN_CHECK_MS = 50;

/** Runs the ownership kernel on this host. */
export class OwnershipPlugin extends Plugin {
    override readonly name = "ownership";
    private kernel!: Kernel;
    private driver!: OwnershipDriver;

    override install(kernel: Kernel): void {
        const peers = kernel.get(PEERS);
        const state = createHostState(peers.self, kernel.settings.groups.ownership);
        const { clock, logger, metrics } = kernel;
        this.kernel = kernel;
        this.driver = new OwnershipDriver(state, {
            clock,
            logger,
            metrics,
            peers,
            table: kernel.get(PLATFORM.TABLE),
            orders: kernel.get(PLATFORM.ORDERS),
        });
        metrics.gauge("arbutusdoor_grants", () => Object.keys(this.driver.state.grants).length);
        kernel.provide(OWNERSHIP, this.driver);
    }

    override async start(): Promise<void> {
        const configuration = this.kernel.get(CONFIGURATION);
        const adopt = ({ version, declaration }: ConfigurationVersion) =>
            this.driver.dispatch({ kind: "configurationChanged", version, declaration });
        configuration.manager.onAdopted(adopt);
        this.driver.start();
        const current = configuration.current();
        if (current) {
            adopt(current);
        }
    }

    /**
     * Leaves the grantor lists, as far as other hosts can take over within the longest wait of a request for an owner. Only then are the
     * requests of other hosts refused; those under way are finished.
     */
    override async drain(): Promise<void> {
        const { clock, settings } = this.kernel;
        this.driver.dispatch({ kind: "resign" });
        const until = clock.now() + settings.readyDelayMs + settings.ownerWaitMs;
        while (clock.now() < until && !isResigned(this.driver.state)) {
            await clock.sleep(RESIGN_CHECK_MS);
        }
        await this.kernel.get(PEERS).drain();
    }

    override async stop(): Promise<void> {
        this.driver.stop();
    }
}

plugins.register({ name: "ownership", createPlugin: () => new OwnershipPlugin() });
