import type { HostId, HostIncarnation, Milliseconds } from "@arbutusdoor/common";
import type { Predecessor } from "./predecessor.js";

/** The row that names the coordinator. */
export type CoordinatorLease = {
    /** Increases with each takeover. */
    readonly term: number;
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    /** IP address and port for links. */
    readonly address: string;
    /** Time by the store's steady clock at which another host may take over. */
    readonly expiresAt: Milliseconds;
    /** Earlier coordinators that may still renew grants; times are by the store's steady clock. */
    readonly predecessors: readonly Predecessor[];
};
