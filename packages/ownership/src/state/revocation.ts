import type { Milliseconds, ServerIncarnation } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/**
 * A coordinator's demand that this host renews and sends nothing to an incarnation of a server. It ends when the server's row is newer than
 * `basisVersion` (a takeover based on it then fails), or when the coordinator withdraws it.
 */
export type Revocation = {
    readonly coordinator: HostIdentity;
    readonly barId: number;
    readonly basisVersion: number;
    readonly incarnation: ServerIncarnation;
    readonly receivedAt: Milliseconds;
    /** `ended` once this host has refused it or the coordinator has withdrawn it. */
    readonly state: "pending" | "confirmed" | "ended";
};
