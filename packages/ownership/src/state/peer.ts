import type { Milliseconds } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/** Another entry host as this one knows it. */
export type Peer = {
    readonly identity: HostIdentity;
    readonly isUp: boolean;
    /** When the link last went up or down. */
    readonly changedAt: Milliseconds;
    /** Whether the peer said that it is about to stop. */
    readonly isResigning: boolean;
};
