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
    private spread!: ConfigurationSync;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, random, settings } = kernel;
        const keeper = new ConfigurationManager({
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
        this.spread = new ConfigurationSync(keeper, kernel.get(PEERS));
        kernel.provide(CONFIGURATION, this.spread);
    }

    override async start(): Promise<void> {
        this.spread.start();
    }

    override async stop(): Promise<void> {
        this.spread.manager.stop();
    }
}

plugins.register({ name: "configuration", createPlugin: () => new ConfigurationPlugin() });
