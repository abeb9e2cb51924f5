import { PortDrain, SystemClock } from "@arbutusdoor/common";
import { createServer, type RequestListener, type Server, type ServerResponse } from "node:http";
import type { AddressInfo, Socket } from "node:net";

const KEEP_ALIVE_MS = 30_000;
/** Longest time in ms that a request may take to arrive once the port is closing; the rest of a longer one was lost on its way. */
const CLOSING_READ_MS = 2_000;
const READ_CHECK_MS = 500;

/** An HTTP server that listens, and what closes it gracefully. */
type OpenPort = { readonly server: Server; readonly drain: PortDrain; };

/** A port that can be closed and opened again at the same number. */
export class Listener {
    private readonly host: string;
    private readonly handler: RequestListener;
    private readonly sockets = new Set<Socket>();
    private readonly responses = new Set<ServerResponse>();
    private current: OpenPort | undefined;
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
        if (this.current) {
            return;
        }
        const server = createServer(
            { keepAliveTimeout: KEEP_ALIVE_MS, connectionsCheckingInterval: READ_CHECK_MS },
            (request, response) => {
                this.follow(server, response);
                this.handler(request, response);
            },
        );
        this.current = { server, drain: new PortDrain(server, new SystemClock()) };
        server.on("connection", socket => this.track(socket));
        await new Promise<void>((resolve, reject) => {
            server.once("error", reject);
            server.listen(this.port, this.host, resolve);
        });
        this.port = (server.address() as AddressInfo).port;
    }

    /** Refuses connections from now on and breaks those that are open. */
    async cut(): Promise<void> {
        const closed = this.take()?.server;
        const ended = closed && new Promise(resolve => closed.close(resolve));
        for (const socket of this.sockets) {
            socket.destroy();
        }
        await ended;
    }

    /**
     * Refuses connections from now on; resolves once requests under way have been answered. Connections without a request are closed,
     * also those that were never used.
     */
    async close(): Promise<void> {
        const closing = this.take();
        if (!closing) {
            return;
        }
        closing.server.headersTimeout = CLOSING_READ_MS;
        closing.server.requestTimeout = CLOSING_READ_MS;
        for (const response of this.responses) {
            response.shouldKeepAlive = false;
        }
        await closing.drain.close();
    }

    private take(): OpenPort | undefined {
        const taken = this.current;
        this.current = undefined;
        return taken;
    }

    /** Answers announce the end of their connections once the port is closing. */
    private follow(server: Server, response: ServerResponse): void {
        response.shouldKeepAlive &&= this.current?.server === server;
        this.responses.add(response);
        response.once("close", () => this.responses.delete(response));
    }

    private track(socket: Socket): void {
        this.sockets.add(socket);
        socket.on("close", () => this.sockets.delete(socket));
    }
}
