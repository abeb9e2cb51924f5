import { createServer, type Server, type ServerResponse } from "node:http";
import polka from "polka";
import { CONFIGURATION } from "../configuration/configurationService.js";
import type { Kernel } from "../kernel/kernel.js";
import { Plugin } from "../kernel/plugin.js";
import { plugins } from "../kernel/plugins.js";

/** Serves `/healthz` (process is up), `/readyz` (load balancer may send callers) and `/metrics` (Prometheus text). */
export class MonitorPlugin extends Plugin {
    override readonly name = "monitor";
    private kernel!: Kernel;
    private server!: Server;

    override install(kernel: Kernel): void {
        this.kernel = kernel;
        this.server = createServer();
        kernel.metrics.gauge("arbutusdoor_resident_memory_bytes", () => process.memoryUsage.rss());
        kernel.metrics.gauge("arbutusdoor_cpu_microseconds_total", () => {
            const { user, system } = process.cpuUsage();
            return user + system;
        });
    }

    override start(): Promise<void> {
        const { listen, monitorPort } = this.kernel.settings;
        const app = polka({ server: this.server });
        app.get("/healthz", (_request, response) => send(response, 200, "ok"));
        app.get("/readyz", (_request, response) => {
            const reason = this.getNotReadyReason();
            send(response, reason === undefined ? 200 : 503, reason ?? "ready");
        });
        app.get("/metrics", (_request, response) => send(response, 200, this.kernel.metrics.print()));
        return new Promise((resolve, reject) => {
            this.server.once("error", reject);
            this.server.once("listening", resolve);
            app.listen(monitorPort, listen);
        });
    }

    override async stop(): Promise<void> {
        this.server.close();
        this.server.closeAllConnections();
    }

    private getNotReadyReason(): string | undefined {
        if (this.kernel.isStopping) {
            return "stopping";
        }
        return this.kernel.get(CONFIGURATION).current() ? undefined : "no configuration is in force yet";
    }
}

function send(response: ServerResponse, status: number, text: string): void {
    response.writeHead(status, { "content-type": "text/plain; charset=utf-8" });
    response.end(text);
}

plugins.register({ name: "monitor", createPlugin: () => new MonitorPlugin() });
