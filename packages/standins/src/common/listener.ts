import { createServer, type RequestListener, type Server } from "node:http";
import type { AddressInfo, Socket } from "node:net";

const KEEP_ALIVE_MS = 30_000;

/** A port that can be closed and opened again at the same number. */
export class Listener {
    private readonly host: string;
    private readonly handler: RequestListener;
    private readonly sockets = new Set<Socket>();
    private server: Server | undefined;
    private port: number;

    constructor(host: string, port: number, handler: RequestListener) {
        this.host = host;
        this.port = port;
        this.handler = handler;
    }

    /** IP number and port. */
    get address(): string {
        return `${this.host}:${this.port}`;
    }

    /** Listens; port 0 is replaced by a free one at the first opening. Rejects when the port is taken. */
    async open(): Promise<void> {
        if (this.server) {
            return;
        }
        const server = createServer({ keepAliveTimeout: KEEP_ALIVE_MS }, (request, response) => {
            response.once("close", () => setImmediate(() => this.closeUnused(server)));
            this.handler(request, response);
        });
        this.server = server;
        server.on("connection", socket => this.track(socket));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port, this.host, resolve);
        });
        this.port = (server.address() as AddressInfo).port;
    }

    /** Refuses connections from now on and breaks those that are open. */
    async cut(): Promise<void> {
        const closed = this.close();
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await closed;
    }

    /** Refuses connections from now on; resolves once requests under way have been answered. */
    async close(): Promise<void> {
        const server = this.server;
        this.server = undefined;
        if (!server) {
            return;
        }
        await new Promise(resolve => {
            server.close(resolve);
            server.closeIdleConnections();
        });
    }

    /** Once the port is closed, a connection closes with its last answer. */
    private closeUnused(server: Server): void {
        if (this.server !== server) {
            server.closeIdleConnections();
        }
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
    }
}
