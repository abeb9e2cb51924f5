import { connect, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/** A caller's connection, with what it received so far. */
export class ConnectedCaller {
    readonly socket: Socket;
    /** Everything that was received, one character a byte. */
    received = "";
    /** Whether the connection has closed. */
    hasEnded = false;

    constructor(port: number) {
        this.socket = connect(port, LOOPBACK);
        this.socket.on("error", () => undefined);
        this.socket.on("data", data => {
            this.received += data.toString("latin1");
        });
        this.socket.on("close", () => {
            this.hasEnded = true;
        });
    }

    /** Sends bytes. */
    send(text: string): void {
        this.socket.write(text);
    }

    /** Statuses of the answers that were received, in their order. */
    get statuses(): readonly string[] {
        return this.received.match(/HTTP\/1\.1 \d+/g)?.map(line => line.slice(-3)) ?? [];
    }

    /** Number of answers that announce the end of the connection. */
    get closings(): number {
        return this.received.match(/connection: close/gi)?.length ?? 0;
    }
}
