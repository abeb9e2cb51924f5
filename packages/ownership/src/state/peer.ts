import type { Milliseconds } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/** What this host knows of another entry host. */
export type Peer = {
    readonly identity: HostIdentity;
    readonly isUp: boolean;
    /** When the link last went up or down. */
    readonly changedAt: Milliseconds;
    /** Whether the peer said that it is about to stop. */
    readonly isResigning: boolean;
};
