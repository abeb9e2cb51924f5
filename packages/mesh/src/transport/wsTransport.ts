import { createServer, type Server } from "node:http";
import type { AddressInfo } from "node:net";
import { WebSocket, WebSocketServer } from "ws";
import type { Connection } from "./connection.js";
import { Transport } from "./transport.js";
import { WsConnection } from "./wsConnection.js";

const UPGRADE_REQUIRED_STATUS = 426;

/** Connections between entry hosts over WebSockets. */
export class WsTransport extends Transport {
    private server: Server | undefined;
    private readonly connectTimeoutMs: number;

    /** @param connectTimeoutMs longest wait for the connection and its WebSocket upgrade */
    constructor(connectTimeoutMs: number) {
        super();
        this.connectTimeoutMs = connectTimeoutMs;
    }

    override listen(
        host: string,
        port: number,
        frameLimitBytes: number,
        onConnection: (connection: Connection) => void,
    ): Promise<string> {
        const server = createServer((_, response) => {
            response.writeHead(UPGRADE_REQUIRED_STATUS).end();
        });
        server.headersTimeout = this.connectTimeoutMs;
        const sockets = new WebSocketServer({
            server,
            maxPayload: frameLimitBytes,
            perMessageDeflate: false,
            clientTracking: false,
        });
        sockets.on("connection", socket => onConnection(new WsConnection(socket)));
        this.server = server;
        return new Promise((resolve, reject) => {
            sockets.once("error", reject);
            server.listen(port, host, () => resolve(getAddress(server)));
        });
    }

    override dial(address: string, frameLimitBytes: number): Promise<Connection | undefined> {
        const socket = openSocket(address, frameLimitBytes, this.connectTimeoutMs);
        if (!socket) {
            return Promise.resolve(undefined);
        }
        return new Promise(resolve => {
            socket.once("open", () => resolve(new WsConnection(socket)));
            socket.on("error", () => resolve(undefined));
        });
    }

    override close(): Promise<void> {
        const { server } = this;
        if (!server) {
            return Promise.resolve();
        }
        return new Promise(resolve => {
            server.close(() => resolve());
            server.closeAllConnections();
        });
    }
}

function openSocket(address: string, maxPayload: number, handshakeTimeout: number): WebSocket | undefined {
    try {
        return new WebSocket(`ws://${address}`, { maxPayload, handshakeTimeout, perMessageDeflate: false });
    }
    catch {
        return undefined;
    }
}

function getAddress(server: Server): string {
    const { address, port, family } = server.address() as AddressInfo;
    return family === "IPv6" ? `[${address}]:${port}` : `${address}:${port}`;
}
