import type { LogFields } from "@arbutusdoor/common";
import { CONFIGURATION } from "../configuration/configurationService.js";
import { CALLER_ROUTER } from "../intents/callerRouterService.js";
import { getStopTimes } from "../kernel/getStopTimes.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PEERS } from "../peers/peersService.js";
import { CallerPort } from "./callerPort.js";
import { RequestIds } from "./requestIds.js";

/** Runs the callers' port. */
export class EntryPlugin extends Plugin {
    override readonly name = "entry";
    private kernel!: Kernel;
    private port!: CallerPort;

    override install(kernel: Kernel): void {
        const { clock, logger, metrics, settings, shutdown } = kernel;
        const configuration = kernel.get(CONFIGURATION);
        this.kernel = kernel;
        this.port = new CallerPort({
            clock,
            logger,
            metrics,
            ids: new RequestIds(kernel.get(PEERS).self.incarnation),
            router: kernel.get(CALLER_ROUTER),
            shutdown,
            limits: settings,
            getDeclaration: () => configuration.current()?.declaration,
        });
    }

    override async start(): Promise<void> {
        const { callerPort, listen } = this.kernel.settings;
        await this.port.listen(listen, callerPort);
    }

    /** Keeps serving until the load balancer has had time to see that this host is not ready, then drains the port. */
    override async drain(): Promise<void> {
        const { readyDelayMs, stopLimitMs } = this.kernel.settings;
        await this.kernel.clock.sleep(getStopTimes(readyDelayMs, stopLimitMs).listenMs);
        await this.port.close();
    }

    override describeEnd(): LogFields {
        this.port.logCutOff();
        return this.port.describe();
    }
}

plugins.register({ name: "entry", createPlugin: () => new EntryPlugin() });
