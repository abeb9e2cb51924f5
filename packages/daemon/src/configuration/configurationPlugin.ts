import { ConfigurationManager } from "@arbutusdoor/configuration";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { CONFIGURATION } from "./configurationService.js";
import { ConfigurationSync } from "./configurationSync.js";

/** Holds the configuration in force and synchronizes it with the peers. */
export class ConfigurationPlugin extends Plugin {
    override readonly name = "configuration";
    private sync!: ConfigurationSync;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, random, settings } = kernel;
        const manager = new ConfigurationManager({
            clock,
            logger,
            metrics,
            random,
            table: kernel.get(PLATFORM.TABLE),
            objects: kernel.get(PLATFORM.OBJECTS),
            settings: {
                ...settings.groups.configuration,
                isPoller: false,
                pollIntervalMs: settings.pollIntervalMs,
            },
        });
        this.sync = new ConfigurationSync(manager, kernel.get(PEERS));
        kernel.provide(CONFIGURATION, this.sync);
    }

    override async start(): Promise<void> {
        this.sync.start();
    }

    override async stop(): Promise<void> {
        this.sync.manager.stop();
    }
}

plugins.register({ name: "configuration", createPlugin: () => new ConfigurationPlugin() });
