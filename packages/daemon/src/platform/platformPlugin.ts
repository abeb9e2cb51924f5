import {
    HttpBackendTraffic,
    HttpHostList,
    HttpLimits,
    HttpObjectStore,
    HttpServerOrders,
    HttpTableService,
} from "@arbutusdoor/clients";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";
import { PLATFORM } from "./platformServices.js";

/** Creates the clients of the outside systems from the settings. */
export class PlatformPlugin extends Plugin {
    override readonly name = "platform";
    private traffic!: HttpBackendTraffic;

    override install(kernel: Kernel): void {
        const { clock, metrics, settings } = kernel;
        const { groups } = settings;
        const timeoutMs = settings.tableTimeoutMs;
        const readLimits = HttpLimits.parse({ timeoutMs, requestsPerSecond: settings.tableReadsPerSecond });
        const writeLimits = HttpLimits.parse({ timeoutMs, requestsPerSecond: settings.tableWritesPerSecond });
        const common = { clock, metrics };
        const table = new HttpTableService(settings.tableService, { ...common, readLimits, writeLimits });
        const otherLimits = HttpLimits.parse({ timeoutMs });
        this.traffic = new HttpBackendTraffic({
            clock,
            settings: { ...groups.backend, host: settings.host },
        });
        kernel.provide(PLATFORM.TABLE, table);
        kernel.provide(
            PLATFORM.OBJECTS,
            new HttpObjectStore(settings.objectStore, { ...common, limits: otherLimits }),
        );
        kernel.provide(
            PLATFORM.HOSTS,
            new HttpHostList(settings.hostList, { ...common, limits: otherLimits }),
        );
        kernel.provide(
            PLATFORM.ORDERS,
            new HttpServerOrders({ clock, settings: groups.orders }),
        );
        kernel.provide(PLATFORM.TRAFFIC, this.traffic);
    }

    override async stop(): Promise<void> {
        await this.traffic.close();
    }
}

plugins.register({ name: "platform", createPlugin: () => new PlatformPlugin() });
