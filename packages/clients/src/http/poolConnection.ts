import type { ConnectionId } from "@arbutusdoor/common";
import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher } from "undici";
import type { AnswerProgress } from "./answerProgress.js";
import type { AssignedConnection } from "./assignedConnection.js";
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
};

/** A member of a pool: one connection at a time, opened when a request needs it. */
export class PoolConnection {
    /** The client that sends over the connection, for the pool. */
    readonly client: Client;
    private readonly limits: PoolLimits;
    private readonly strayBytes = new StrayBytes();
    private id: ConnectionId | undefined;

    constructor(origin: URL, limits: PoolLimits) {
        this.limits = limits;
        this.client = new Client(origin, {
            pipelining: 1,
            connect: this.createConnector(),
            keepAliveTimeout: limits.idleTimeoutMs,
            keepAliveMaxTimeout: limits.idleTimeoutMs,
            headersTimeout: 0,
            bodyTimeout: 0,
        });
        const dispatch = this.client.dispatch.bind(this.client);
        this.client.dispatch = (options: ConnectionOptions, handler) => {
            this.strayBytes.follow(options.progress);
            if (options.assigned) {
                options.assigned.getId = () => this.id;
            }
            return dispatch(options, handler);
        };
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
                    this.id = String(++opened) as ConnectionId;
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
 * Resets a connection that ends before its exchange does: after a plain close the kernel would still deliver buffered bytes,
 * however late.
 */
function resetWhenAbandoned(socket: Socket, isInUse: () => boolean): void {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = error => {
        // A reset calls this method again without the error. A socket that has ended its writing side cannot be reset.
        socket.destroy = () => destroy(error);
        return isInUse() && !socket.writableEnded ? socket.resetAndDestroy() : destroy(error);
    };
}
