import { splitLimit } from "./splitLimit.js";

/** Requests that all hosts together may have at a server for each of its slots; the excess waits inside the server. */
const REQUESTS_PER_SLOT = 2;

/** Fewer would leave slots idle when the callers are spread unevenly over the hosts. */
const MIN_LIMIT = 2;

/**
 * Most requests that one entry host may have at a pooled server at a time: few enough that the rest waits, by
 * priority, at the entry hosts, and never more than the host's share of the connections.
 *
 * @param position place of the host in the sorted list of hosts, from 0
 */
export function getHostLimit(
    { slots, connections }: { readonly slots: number; readonly connections: number; },
    hosts: number,
    position: number,
): number {
    const wanted = Math.max(MIN_LIMIT, Math.ceil(REQUESTS_PER_SLOT * slots / hosts));
    return Math.min(splitLimit(connections, hosts, position), wanted);
}
