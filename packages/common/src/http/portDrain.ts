import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { Clock } from "../time/clock.js";
import type { Milliseconds } from "../time/milliseconds.js";
import { waitForSocketReads } from "../time/waitForSocketReads.js";
import { acceptPendingConnections } from "./acceptPendingConnections.js";
import { closeAfterCaller } from "./closeAfterCaller.js";

/** A caller normally sends its first request within a round trip of its connection being accepted. */
const FIRST_REQUEST_MS = 500;

/** What is known of an open connection. */
type ConnectionState = {
    readonly acceptedAt: Milliseconds;
    /** Requests that were read and have no complete answer. */
    requests: number;
    /** Bytes that had been read when the connection last carried no request; more mean that a further head has begun. */
    bytesAtRest: number;
};

/**
 * Closes the port of an HTTP server gracefully. The server's own `close` and `closeIdleConnections` are of no use for that: they break off
 * answers that were written and not yet sent out, and keep connections that were never used.
 */
export class PortDrain {
    private readonly server: Server;
    private readonly clock: Clock;
    private readonly connections = new Map<Socket, ConnectionState>();
    private isClosing = false;
    private notifyEmpty: (() => void) | undefined;

    /** @param server a server that does not listen yet */
    constructor(server: Server, clock: Clock) {
        this.server = server;
        this.clock = clock;
        server.on("connection", (socket: Socket) => this.addConnection(socket));
        server.on(
            "request",
            (message: IncomingMessage, response: ServerResponse) => this.addRequest(message.socket, response),
        );
    }

    /** Number of open connections. */
    get size(): number {
        return this.connections.size;
    }

    /**
     * Stops accepting connections and closes those that carry no request; one that was accepted just now has a little time for its first.
     * Resolves once all are closed. Answers have to announce the end of their connections meanwhile; a connection whose answer does not is
     * closed after it.
     */
    async close(): Promise<void> {
        await acceptPendingConnections(this.server);
        this.isClosing = true;
        NetServer.prototype.close.call(this.server);
        for (const [socket, state] of this.connections) {
            const left = state.acceptedAt + FIRST_REQUEST_MS - this.clock.now();
            if (socket.bytesRead === 0 && left > 0) {
                this.clock.schedule(left, () => this.closeUnused(socket, state));
            }
            else {
                this.closeUnused(socket, state);
            }
        }
        while (this.connections.size > 0) {
            await new Promise<void>(resolve => {
                this.notifyEmpty = resolve;
            });
        }
    }

    private addConnection(socket: Socket): void {
        closeAfterCaller(socket, this.clock);
        this.connections.set(socket, { acceptedAt: this.clock.now(), requests: 0, bytesAtRest: 0 });
        socket.once("close", () => {
            this.connections.delete(socket);
            if (this.connections.size === 0) {
                this.notifyEmpty?.();
            }
        });
    }

    private addRequest(socket: Socket, response: ServerResponse): void {
        const state = this.connections.get(socket);
        if (!state) {
            return;
        }
        state.requests++;
        response.once("close", () => {
            state.requests--;
            state.bytesAtRest = socket.bytesRead;
            if (this.isClosing) {
                void waitForSocketReads().then(() => this.closeUnused(socket, state));
            }
        });
    }

    private closeUnused(socket: Socket, { bytesAtRest, requests }: ConnectionState): void {
        if (requests === 0 && socket.bytesRead === bytesAtRest) {
            socket.destroy();
        }
    }
}
