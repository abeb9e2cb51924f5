import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { OWNERSHIP } from "../ownership/ownershipService.js";
import { PEERS } from "../peers/peersService.js";
import { PLATFORM } from "../platform/platformServices.js";
import { DaemonContext } from "./daemonContext.js";
import { OperatorServer } from "./operatorServer.js";

/** Runs the operators' port. */
export class OperatorPlugin extends Plugin {
    override readonly name = "operator";
    private server!: OperatorServer;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, random, settings } = kernel;
        const context = new DaemonContext({
            clock,
            random,
            settings: {
                ...settings.groups.configuration,
                isPoller: false,
                pollIntervalMs: settings.pollIntervalMs,
            },
            table: kernel.get(PLATFORM.TABLE),
            peers: kernel.get(PEERS),
            configuration: kernel.get(CONFIGURATION),
            ownership: kernel.get(OWNERSHIP),
            onLog: listener => logger.onEvent(listener),
        });
        this.server = new OperatorServer({
            context,
            token: settings.operatorToken,
            settings: { ...settings.groups.operator, address: settings.listen, port: settings.operatorPort },
            clock,
            logger,
            metrics,
        });
    }

    override async start(): Promise<void> {
        await this.server.listen();
    }

    override stop(): Promise<void> {
        return this.server.close();
    }
}

plugins.register({ name: "operator", createPlugin: () => new OperatorPlugin() });
