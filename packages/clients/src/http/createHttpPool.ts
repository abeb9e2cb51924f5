import { Pool } from "undici";
import { PoolConnection } from "./poolConnection.js";
import type { PoolLimits } from "./poolLimits.js";

/**
 * Creates a pool of connections to one server: one request at a time on each, no pipelining, and no timeout except for
 * connecting. The exchange limits the wait for an answer.
 */
export function createHttpPool(baseUrl: string, limits: PoolLimits): Pool {
    const members = new Set<PoolConnection>();
    return new Pool(baseUrl, {
        connections: limits.connections,
        factory: origin => new PoolConnection(origin, limits, members).client,
    });
}
