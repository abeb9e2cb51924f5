import { once } from "node:events";
import { type AddressInfo, connect, createServer, type Server, type Socket } from "node:net";

const LOOPBACK = "127.0.0.1";

/**
 * What the proxy does to connections: passes bytes on; passes them on `delayMs` late; resets what there is and what comes; loses the
 * answers while requests arrive; or takes connections and loses everything, so that they go silent without an end.
 */
type ProxyMode = "pass" | "delay" | "reset" | "loseAnswers" | "silent";

/** Stands between a program and another, and brings faults of the network about from outside of both. */
export class LoopbackProxy {
    /** Address that the proxy leads to, empty while there is none; may change when the program behind it starts again. */
    target: string;
    private readonly server: Server;
    private readonly sockets = new Set<Socket>();
    private mode: ProxyMode = "pass";
    private delayMs = 0;
    /** The port while connections are refused. */
    private refusedPort: number | undefined;

    constructor(target: string) {
        this.target = target;
        this.server = createServer({ pauseOnConnect: true }, socket => this.join(socket));
    }

    /** Address that the proxy listens at. */
    get address(): string {
        return `${LOOPBACK}:${this.refusedPort ?? (this.server.address() as AddressInfo).port}`;
    }

    /** Begins to listen on a free port. */
    async start(): Promise<void> {
        this.server.listen(0, LOOPBACK);
        await once(this.server, "listening");
    }

    /** Changes what happens to connections, those that are open included. */
    setMode(mode: ProxyMode, delayMs = 0): void {
        this.mode = mode;
        this.delayMs = delayMs;
        if (mode === "reset") {
            this.sockets.forEach(socket => socket.resetAndDestroy());
        }
    }

    /** Refuses connections from now on, and resets those that are open. */
    async refuse(): Promise<void> {
        this.refusedPort = (this.server.address() as AddressInfo).port;
        const closed = once(this.server, "close");
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
        await closed;
    }

    /** Takes connections again. Rejects when another program has taken the port meanwhile. */
    async accept(): Promise<void> {
        this.server.listen(this.refusedPort, LOOPBACK);
        this.refusedPort = undefined;
        await once(this.server, "listening");
    }

    /** Closes the port and all connections. */
    async stop(): Promise<void> {
        this.sockets.forEach(socket => socket.destroy());
        if (this.server.listening) {
            const closed = once(this.server, "close");
            this.server.close();
            await closed;
        }
    }

    private join(near: Socket): void {
        const [host, port] = this.target.split(":");
        this.keep(near);
        // Nothing is behind the proxy yet when callers of an earlier program at its port are still about.
        if (this.mode === "reset" || this.target === "") {
            near.resetAndDestroy();
            return;
        }
        const far = connect(Number(port), host);
        this.keep(far);
        this.pass(near, far, () => this.mode === "silent");
        this.pass(far, near, () => this.mode === "silent" || this.mode === "loseAnswers");
        near.resume();
    }

    private keep(socket: Socket): void {
        this.sockets.add(socket);
        // A reset is one of the faults to be passed on; "close" follows and does so.
        socket.on("error", () => undefined);
        socket.once("close", () => this.sockets.delete(socket));
    }

    private pass(from: Socket, to: Socket, isLost: () => boolean): void {
        const held: (() => void)[] = [];
        const later = (action: () => void) => {
            if (isLost()) {
                return;
            }
            if (this.mode !== "delay" && held.length === 0) {
                action();
                return;
            }
            held.push(action);
            // Each timer passes the oldest on: what comes after a delay never overtakes what came in it.
            setTimeout(() => held.shift()!(), this.mode === "delay" ? this.delayMs : 0);
        };
        from.on("data", bytes => later(() => to.write(bytes)));
        from.once("end", () => later(() => to.end()));
        from.once("close", hadError => later(() => hadError ? to.resetAndDestroy() : to.end()));
    }
}
