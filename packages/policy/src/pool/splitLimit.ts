/**
 * The part of a server's limit that one entry host may use, so that the parts of all hosts together stay within it
 * whenever the limit is at least the number of hosts; otherwise each host has one.
 *
 * @param position place of the host in the sorted list of hosts, from 0
 */
export function splitLimit(total: number, hosts: number, position: number): number {
    const hasExtra = position < total % hosts;
    return Math.max(1, Math.floor(total / hosts) + (hasExtra ? 1 : 0));
}
