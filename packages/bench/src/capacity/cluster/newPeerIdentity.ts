import type { HostIdentity } from "@arbutusdoor/ownership";

/** Identity of the entry host of that number; number 0 is the one under study. */
export function newPeerIdentity(number: number): HostIdentity {
    return {
        host: `entry-${number}`,
        incarnation: `entry-${number}-k3v9x2m1`,
        dataCentre: "centre-0",
        address: `10.200.${Math.floor(number / 256)}.${number % 256}:7082`,
    } as HostIdentity;
}
