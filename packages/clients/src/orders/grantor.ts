import type { HostId, HostIncarnation } from "@arbutusdoor/common";

/** An incarnation of an entry host that may renew a server's lease. */
export type Grantor = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
};
