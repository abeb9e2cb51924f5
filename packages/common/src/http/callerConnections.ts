import type { Socket } from "node:net";
import { CallerConnection } from "./callerConnection.js";

/** The connections of one HTTP server, by socket. */
export class CallerConnections {
    private readonly connections = new WeakMap<Socket, CallerConnection>();

    /** Returns the connection of a socket, which is added when it is new. */
    get(socket: Socket): CallerConnection {
        let connection = this.connections.get(socket);
        if (!connection) {
            connection = new CallerConnection(socket);
            this.connections.set(socket, connection);
        }
        return connection;
    }
}
