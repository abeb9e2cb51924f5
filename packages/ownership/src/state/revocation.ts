import type { Milliseconds, ServerIncarnation } from "@arbutusdoor/common";
import type { HostIdentity } from "./hostIdentity.js";

/**
 * A decider's demand that this host renews and sends nothing to a run of a server.
 * It ends when the server's row grows beyond `basisVersion` (a takeover on its ground then fails), or by the decider's unbar.
 */
export type Revocation = {
    readonly coordinator: HostIdentity;
    readonly barId: number;
    readonly basisVersion: number;
    readonly incarnation: ServerIncarnation;
    readonly receivedAt: Milliseconds;
    readonly state: "pending" | "confirmed" | "lifted";
};
