import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { Server as NetServer, type Socket } from "node:net";
import type { Clock } from "../time/clock.js";
import type { Milliseconds } from "../time/milliseconds.js";
import { waitForSocketReads } from "../time/waitForSocketReads.js";
import { acceptPendingConnections } from "./acceptPendingConnections.js";
import { closeAfterCaller } from "./closeAfterCaller.js";

/** A caller normally sends its first request within a round trip of its connection being accepted. */
const FIRST_REQUEST_MS = 500;
/** Time for the rest of a head that has begun; a lost packet is normally sent again within it. */
const HEAD_MS = 1_000;

/** What is known of an open connection. */
type ConnectionState = {
    readonly acceptedAt: Milliseconds;
    /** Requests that were read and have no complete answer. */
    requests: number;
    /** Bytes that had been read when the connection last carried no request. More mean that a head has begun since. */
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
    private readonly waiters: (() => void)[] = [];

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
     * Stops accepting connections and closes those that carry no request; one that was accepted just now, or on which a head has begun, has
     * a little time for it. Resolves once all are closed. Answers should announce the end of their connections meanwhile; a connection whose
     * answer does not is closed after it.
     */
    async close(): Promise<void> {
        await acceptPendingConnections(this.server);
        this.isClosing = true;
        NetServer.prototype.close.call(this.server);
        for (const [socket, state] of this.connections) {
            this.closeUnused(socket, state);
        }
        while (this.connections.size > 0) {
            await new Promise<void>(resolve => this.waiters.push(resolve));
        }
    }

    private addConnection(socket: Socket): void {
        closeAfterCaller(socket, this.clock);
        this.connections.set(socket, { acceptedAt: this.clock.now(), requests: 0, bytesAtRest: 0 });
        socket.once("close", () => {
            this.connections.delete(socket);
            if (this.connections.size === 0) {
                this.waiters.splice(0).forEach(notify => notify());
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
                // Its caller may have sent the next request already.
                void waitForSocketReads().then(() => this.closeUnused(socket, state));
            }
        });
    }

    private closeUnused(socket: Socket, state: ConnectionState): void {
        const { acceptedAt, bytesAtRest, requests } = state;
        if (requests > 0) {
            return;
        }
        const hasBegunHead = socket.bytesRead > bytesAtRest;
        const isUnused = socket.bytesRead === 0;
        const timeLeft = isUnused ? acceptedAt + FIRST_REQUEST_MS - this.clock.now() : HEAD_MS;
        if (hasBegunHead || isUnused && timeLeft > 0) {
            this.clock.schedule(timeLeft, () => void this.closeOverdue(socket, state));
        }
        else {
            close(socket);
        }
    }

    /** Closes a connection whose time for a request is over, unless it has come meanwhile. */
    private async closeOverdue(socket: Socket, state: ConnectionState): Promise<void> {
        // A process without processor time runs its timers before it reads what has arrived.
        await waitForSocketReads();
        if (state.requests === 0) {
            close(socket);
        }
    }
}

function close(socket: Socket): void {
    if (socket.bytesRead === 0) {
        socket.destroy();
    }
    else if (!socket.writableEnded) {
        socket.destroySoon();
    }
}
