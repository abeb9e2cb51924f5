import type { RawData, WebSocket } from "ws";
import { Connection } from "./connection.js";
import type { ConnectionEvents } from "./connectionEvents.js";

const PROTOCOL_ERROR_PREFIX = "WS_ERR_";

/** A connection over a WebSocket. */
export class WsConnection extends Connection {
    private readonly socket: WebSocket;
    private events: ConnectionEvents | undefined;
    private readonly buffered: Uint8Array[] = [];
    private cause: "ended" | "malformed" = "ended";
    private isClosed = false;

    constructor(socket: WebSocket) {
        super();
        this.socket = socket;
        socket.on("message", data => this.receive(data));
        socket.on("error", error => this.handleError(error));
        socket.on("close", () => this.end());
    }

    override get bufferedBytes(): number {
        return this.socket.bufferedAmount;
    }

    override listen(events: ConnectionEvents): void {
        this.events = events;
        for (const bytes of this.buffered.splice(0)) {
            events.onFrame(bytes);
        }
        if (this.isClosed) {
            events.onClose(this.cause);
        }
    }

    override send(bytes: Uint8Array): void {
        this.socket.send(bytes, error => {
            if (!error) {
                this.events?.onDrain();
            }
        });
    }

    override close(): void {
        this.socket.close();
    }

    override terminate(): void {
        this.socket.terminate();
    }

    private receive(data: RawData): void {
        const bytes = Array.isArray(data) ? Buffer.concat(data) : data as Buffer;
        if (this.events) {
            this.events.onFrame(bytes);
        }
        else {
            this.buffered.push(bytes);
        }
    }

    private handleError(error: Error): void {
        const code = (error as NodeJS.ErrnoException).code;
        if (code?.startsWith(PROTOCOL_ERROR_PREFIX)) {
            this.cause = "malformed";
        }
        this.socket.terminate();
    }

    private end(): void {
        this.isClosed = true;
        this.events?.onClose(this.cause);
    }
}
