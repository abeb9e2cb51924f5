import type { Milliseconds } from "@arbutusdoor/common";

/** What the walk assumes of the network and of servers' lives. */
export type FaultModel = {
    /** How long the network holds orders to a server that is cut off up before it drops them. */
    readonly dropAfterMs: Milliseconds;
    /** Whether a new life of a server has the address of the one before, so that orders to the older one reach it. */
    readonly isAddressReused: boolean;
    /** How late coordinators learn of new lives; those that were replaced never do, if it is more than none. */
    readonly registryLagMs: Milliseconds;
    /** Whether some cuts part a server from the newest coordinator only. */
    readonly isOneSided: boolean;
};
