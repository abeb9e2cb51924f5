import type { Socket } from "node:net";
import { buildConnector, Client, type Dispatcher, Pool } from "undici";
import type { AnswerProgress } from "./answerProgress.js";
import { StrayBytes } from "./strayBytes.js";

const RESET = "ECONNRESET";
const RENAMED_RESET = "ERR_CONNECTION_RESET";

/** Bounds of one pool of connections. */
type PoolLimits = {
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Time in ms that an unused connection is kept; shorter than servers keep theirs. */
    readonly idleTimeoutMs: number;
};

/**
 * A pool of connections to one server: one request at a time on each, no pipelining, no timeouts but that of connecting.
 * Waiting for answers is the exchange's to bound.
 */
export function createHttpPool(baseUrl: string, limits: PoolLimits): Pool {
    return new Pool(baseUrl, {
        connections: limits.connections,
        factory: origin => createClient(origin, limits),
    });
}

function createClient(origin: URL, limits: PoolLimits): Client {
    const strayBytes = new StrayBytes();
    const client: Client = new Client(origin, {
        pipelining: 1,
        connect: createConnector(limits.connectTimeoutMs, strayBytes, () => client.stats.running > 0),
        keepAliveTimeout: limits.idleTimeoutMs,
        keepAliveMaxTimeout: limits.idleTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
    const dispatch = client.dispatch.bind(client);
    client.dispatch = (options: Dispatcher.DispatchOptions & { progress?: AnswerProgress; }, handler) => {
        strayBytes.follow(options.progress);
        return dispatch(options, handler);
    };
    return client;
}

function createConnector(
    connectTimeoutMs: number,
    strayBytes: StrayBytes,
    isInUse: () => boolean,
): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    return (options, callback) => {
        connect(options, (...result) => {
            const socket = result[1];
            if (socket) {
                socket.prependListener("error", renameReset);
                resetWhenAbandoned(socket, isInUse);
            }
            callback(...result);
            if (socket) {
                strayBytes.limit(socket);
            }
        });
    };
}

/**
 * undici takes a reset as the end of an answer that closes its connection, and fails an assertion of its own if the reader
 * holds that answer back. A reset under another code is an error like any other.
 */
function renameReset(error: NodeJS.ErrnoException): void {
    if (error.code === RESET) {
        error.code = RENAMED_RESET;
    }
}

/**
 * A connection that ends before its exchange does is reset: after a plain close the kernel would still deliver what it has
 * not sent yet, however late.
 */
function resetWhenAbandoned(socket: Socket, isInUse: () => boolean): void {
    const destroy = socket.destroy.bind(socket);
    socket.destroy = error => {
        // A reset calls this method again, without the error; a socket that has sent its end can't be reset.
        socket.destroy = () => destroy(error);
        return isInUse() && !socket.writableEnded ? socket.resetAndDestroy() : destroy(error);
    };
}
