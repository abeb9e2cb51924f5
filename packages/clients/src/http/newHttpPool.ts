import { buildConnector, Pool } from "undici";

const RESET = "ECONNRESET";
const RESET_SEEN = "ERR_CONNECTION_RESET";

/** Bounds of one pool of connections. */
type PoolBounds = {
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Time in ms that an unused connection is kept; shorter than servers keep theirs. */
    readonly idleTimeoutMs: number;
};

/**
 * A pool of connections to one server: one request at a time on each, no pipelining, no timeouts but that of connecting.
 * Waiting for answers is the exchange's to bound.
 */
export function newHttpPool(baseUrl: string, bounds: PoolBounds): Pool {
    return new Pool(baseUrl, {
        connections: bounds.connections,
        pipelining: 1,
        connect: newConnector(bounds.connectTimeoutMs),
        keepAliveTimeout: bounds.idleTimeoutMs,
        keepAliveMaxTimeout: bounds.idleTimeoutMs,
        headersTimeout: 0,
        bodyTimeout: 0,
    });
}

/**
 * undici takes a reset as the end of an answer that closes its connection, and fails an assertion of its own if the reader
 * holds that answer back. A reset under another code is an error like any other.
 */
function newConnector(connectTimeoutMs: number): buildConnector.connector {
    const connect = buildConnector({ timeout: connectTimeoutMs });
    return (options, callback) => {
        connect(options, (...result) => {
            result[1]?.prependListener("error", renameReset);
            callback(...result);
        });
    };
}

function renameReset(error: NodeJS.ErrnoException): void {
    if (error.code === RESET) {
        error.code = RESET_SEEN;
    }
}
