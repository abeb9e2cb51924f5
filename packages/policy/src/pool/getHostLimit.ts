import { splitLimit } from "./splitLimit.js";

/** Outstanding requests of all hosts together for each slot of a server; those beyond its slots wait inside the server. */
const REQUESTS_PER_SLOT = 2;

/** A lower limit would leave slots idle when callers are distributed unevenly over the hosts. */
const MIN_LIMIT = 2;

/**
 * Returns the maximum number of outstanding requests of one host at a pooled server: few enough that the rest waits by
 * priority at the hosts, and never more than the host's share of the connections.
 *
 * @param position index of the host in the sorted list of hosts
 */
export function getHostLimit(
    { slots, connections }: { readonly slots: number; readonly connections: number; },
    hosts: number,
    position: number,
): number {
    const requested = Math.max(MIN_LIMIT, Math.ceil(REQUESTS_PER_SLOT * slots / hosts));
    return Math.min(splitLimit(connections, hosts, position), requested);
}
