import type { HostId, HostIncarnation, Milliseconds } from "@arbutusdoor/common";

/** An earlier coordinator that lost the lease without giving it up. Until it notices, it goes on renewing its grants. */
export type Predecessor = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    /** Time after which it sends no renewals. */
    readonly renewsUntil: Milliseconds;
};
