import type { ConnectionId } from "@arbutusdoor/common";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import { AbandonedError } from "./abandonedError.js";
import type { AnswerProgress } from "./answerProgress.js";
import type { AssignedConnection } from "./assignedConnection.js";
import type { OpenConnection } from "./openConnection.js";
import type { PoolLimits } from "./poolLimits.js";
import { StrayBytes } from "./strayBytes.js";

const RESET = "ECONNRESET";
const MAY_NOT_CONNECT = "no connection may be opened now";
const RENAMED_RESET = "ERR_CONNECTION_RESET";

/** Connections opened by this process. */
let opened = 0;

/** What an exchange passes to the connection that it is dispatched to. */
type ConnectionOptions = Dispatcher.DispatchOptions & {
    readonly progress?: AnswerProgress;
    readonly assigned?: AssignedConnection;
    /** Connections that must not carry the exchange. */
    readonly carriers?: ReadonlySet<ConnectionId>;
};

/** A member of a pool: one connection at a time, opened when a request needs it. */
export class PoolConnection {
    /** The client that sends over the connection, for the pool. */
    readonly client: Client;
    private readonly limits: PoolLimits;
    private readonly members: Set<PoolConnection>;
    private readonly strayBytes = new StrayBytes();
    private readonly dispatch: Client["dispatch"];
    private open: OpenConnection | undefined;
    private socket: Socket | undefined;

    /** @param members the connections of the pool, to which this one adds itself */
    constructor(origin: URL, limits: PoolLimits, members: Set<PoolConnection>) {
        this.limits = limits;
        this.members = members.add(this);
        this.client = new Client(origin, {
            pipelining: 1,
            connect: this.createConnector(),
            keepAliveTimeout: limits.idleTimeoutMs,
            keepAliveMaxTimeout: limits.idleTimeoutMs,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        this.dispatch = this.client.dispatch.bind(this.client);
        this.client.dispatch = (options: ConnectionOptions, handler) => {
            const member = this.findMember(options.carriers);
            const hasRoom = member.send(options, handler);
            // The pool chose this connection: if another one carries the exchange, this one still has room.
            return member !== this || hasRoom;
        };
        // The pool drops a member that could not connect.
        this.client.on("connectionError", () => this.members.delete(this));
    }

    private get isIdle(): boolean {
        return this.client.stats.size === 0 && !this.client.closed && !this.client.destroyed;
    }

    /** Whether its connection must not carry an exchange. */
    private isUnusable(carriers: ReadonlySet<ConnectionId> | undefined): boolean {
        return this.client.stats.connected && this.open !== undefined
            && (this.open.isRetired || carriers?.has(this.open.id) === true);
    }

    /**
     * Returns this member, or the one to use instead if its connection must not carry the exchange: an idle one, open if possible, since
     * new connections cost a busy server the most. If there is none, this connection is replaced, unless it has got another exchange.
     */
    private findMember(carriers: ReadonlySet<ConnectionId> | undefined): PoolConnection {
        if (!this.isUnusable(carriers)) {
            return this;
        }
        const idle = [...this.members].filter(member => member.isIdle && !member.isUnusable(carriers));
        const other = idle.find(({ client }) => client.stats.connected) ?? idle[0];
        if (!other && this.isIdle) {
            this.socket?.destroy();
        }
        return other ?? this;
    }

    private send(options: ConnectionOptions, handler: Dispatcher.DispatchHandler): boolean {
        this.strayBytes.follow(options.progress);
        if (options.assigned) {
            options.assigned.get = () => this.open;
        }
        return this.dispatch(options, handler);
    }

    private createConnector(): buildConnector.connector {
        const { connectTimeoutMs, mayConnect = () => true } = this.limits;
        const connect = buildConnector({ timeout: connectTimeoutMs });
        return (options, callback) => {
            if (!mayConnect()) {
                queueMicrotask(() => callback(new Error(MAY_NOT_CONNECT), null));
                return;
            }
            connect(options, (...result) => {
                const socket = result[1];
                if (socket && !mayConnect()) {
                    socket.destroy();
                    callback(new Error(MAY_NOT_CONNECT), null);
                    return;
                }
                if (socket) {
                    this.open = { id: String(++opened) as ConnectionId, isRetired: false };
                    this.socket = socket;
                    socket.prependListener("error", renameReset);
                    resetWhenAbandoned(socket, () => this.client.stats.running > 0);
                }
                callback(...result);
                if (socket) {
                    this.strayBytes.limit(socket);
                }
            });
        };
    }
}

/**
 * Renames the error code of a reset. undici treats a reset as the end of an answer that closes its connection, and fails an
 * internal assertion if the reader applies backpressure to that answer. A reset with another code is handled like any error.
 */
function renameReset(error: NodeJS.ErrnoException): void {
    if (error.code === RESET) {
        error.code = RENAMED_RESET;
    }
}

/**
 * Resets a connection that ends before its exchange does, or whose client is given up: after a plain close the kernel would still deliver
 * buffered bytes, however late. An exchange may have ended by an answer that was not its own.
 */
function resetWhenAbandoned(socket: Socket, isInUse: () => boolean): void {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = error => {
        // A reset calls this method again without the error. A socket that has ended its writing side cannot be reset.
        socket.destroy = () => destroy(error);
        const mustReset = isInUse() || error instanceof AbandonedError;
        return mustReset && !socket.writableEnded ? socket.resetAndDestroy() : destroy(error);
    };
}
