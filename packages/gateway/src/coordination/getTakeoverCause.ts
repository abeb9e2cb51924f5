import type { HostId } from "@arbutusdoor/common";
import type { CoordinatorLease } from "./coordinatorLease.js";

/**
 * Why the lease was free: there was none, it was given up, it belonged to an earlier incarnation of this host, it had expired.
 */
type TakeoverCause = "noLease" | "gaveUp" | "ownEarlierRun" | "expired";

/** Returns why a lease is free. */
export function getTakeoverCause(lease: CoordinatorLease | undefined, host: HostId): TakeoverCause {
    if (!lease) {
        return "noLease";
    }
    if (lease.expiresAt <= 0) {
        return "gaveUp";
    }
    return lease.host === host ? "ownEarlierRun" : "expired";
}
