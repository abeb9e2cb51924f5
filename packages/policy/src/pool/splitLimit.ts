/**
 * Returns the part of a server's limit that one host may use. The parts of all hosts together stay within the limit if
 * it is at least the number of hosts; otherwise each host gets one.
 *
 * @param position index of the host in the sorted list of hosts
 */
export function splitLimit(total: number, hosts: number, position: number): number {
    const hasExtra = position < total % hosts;
    return Math.max(1, Math.floor(total / hosts) + (hasExtra ? 1 : 0));
}
