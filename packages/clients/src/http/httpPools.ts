import type { Pool } from "undici";
import { createHttpPool } from "./createHttpPool.js";

/** Settings of the pools that one adapter keeps. */
type PoolSettings = {
    /** Connections to an address without a limit of its own. */
    readonly connections: number;
    readonly connectTimeoutMs: number;
    /** Time in ms that an unused connection is kept; shorter than servers keep theirs. */
    readonly idleTimeoutMs: number;
    /** Number of addresses above which pools without requests are closed. */
    readonly addressLimit: number;
};

/** A pool with its number of connections. */
type SizedPool = {
    readonly pool: Pool;
    readonly connections: number;
};

/** One pool of connections per address: one request at a time on a connection, no pipelining. */
export class HttpPools {
    private readonly settings: PoolSettings;
    private readonly pools = new Map<string, SizedPool>();
    private readonly limits = new Map<string, number>();
    private readonly retired = new Map<Pool, string>();

    constructor(settings: PoolSettings) {
        this.settings = settings;
    }

    /**
     * Returns the pool of an address (IP address and port).
     *
     * @param connections limit of the connections to an address without a limit of its own
     */
    get(address: string, connections = this.settings.connections): Pool {
        const limit = this.limits.get(address) ?? connections;
        const known = this.pools.get(address);
        if (known && isUsable(known, limit)) {
            return known.pool;
        }
        this.retire(address);
        return this.open(address, limit);
    }

    /** Limits the connections to an address. Requests in progress keep their connections. */
    limitConnections(address: string, connections: number): void {
        if (this.limits.get(address) === connections) {
            return;
        }
        this.limits.delete(address);
        this.limits.set(address, connections);
        dropOldest(this.limits, this.settings.addressLimit);
        this.retire(address);
    }

    /** Returns the number of open connections to each address. */
    countConnections(): ReadonlyMap<string, number> {
        const counts = new Map<string, number>();
        for (const [address, { pool }] of this.pools) {
            counts.set(address, pool.stats.connected);
        }
        for (const [pool, address] of this.retired) {
            counts.set(address, (counts.get(address) ?? 0) + pool.stats.connected);
        }
        return counts;
    }

    /** Closes all connections once their requests have ended. */
    async close(): Promise<void> {
        for (const address of [...this.pools.keys()]) {
            this.retire(address);
        }
        await Promise.all([...this.retired.keys()].map(pool => pool.close()));
    }

    private open(address: string, connections: number): Pool {
        const pool = createHttpPool(`http://${address}`, { ...this.settings, connections });
        this.pools.set(address, { pool, connections });
        this.retireUnused();
        return pool;
    }

    private retireUnused(): void {
        for (const [address, { pool }] of this.pools) {
            if (this.pools.size <= this.settings.addressLimit) {
                return;
            }
            if (pool.stats.size === 0) {
                this.retire(address);
            }
        }
    }

    private retire(address: string): void {
        const pool = this.pools.get(address)?.pool;
        if (!pool) {
            return;
        }
        this.pools.delete(address);
        this.retired.set(pool, address);
        const forget = () => this.retired.delete(pool);
        pool.close().then(forget, forget);
    }
}

/**
 * Whether a pool can be kept under a limit. New connections cost a busy server the most, so a pool with another limit is replaced only when
 * that makes a difference: all its connections are in use and it may have more, or it has opened too many.
 */
function isUsable({ connections, pool }: SizedPool, limit: number): boolean {
    if (connections === limit) {
        return true;
    }
    return connections < limit ? pool.stats.size < connections : pool.stats.connected <= limit;
}

function dropOldest<Value>(map: Map<string, Value>, limit: number): void {
    for (const key of map.keys()) {
        if (map.size <= limit) {
            return;
        }
        map.delete(key);
    }
}
