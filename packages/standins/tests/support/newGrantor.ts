import type { Grantor } from "@arbutusdoor/clients";
import type { HostId, HostIncarnation } from "@arbutusdoor/common";

/** The first run of an entry host. */
export function newGrantor(host: string): Grantor {
    return { host: host as HostId, incarnation: `${host}-1` as HostIncarnation };
}
