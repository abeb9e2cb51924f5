import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnershipSettings } from "./ownershipSettings.js";

/** Returns the time by which a grant that was last sent at `last` has certainly expired. */
export function getGrantExpiry(
    last: Milliseconds,
    { clockSlowness, holdMs, expiryMarginMs, orderTimeoutMs }: OwnershipSettings,
): Milliseconds {
    return last + orderTimeoutMs + holdMs * (1 + clockSlowness) + expiryMarginMs;
}
