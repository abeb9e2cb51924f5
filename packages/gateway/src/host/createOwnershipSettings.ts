import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnershipSettings } from "../ownership/ownershipSettings.js";

/** Two renewals may fail before a grant expires; each order takes the coordinator about 0.3 ms of processor time. */
const RENEWALS_PER_GRANT = 2.5;
/** An order without an answer is given up after 800 ms, and its connection is closed. */
const ORDER_TIMEOUT_MS = 800;
/** By the platform's protocol, a server's clock may run 2 % slow. */
const CLOCK_SLOWNESS = 0.02;
const EXPIRY_MARGIN_MS = 300;
/** Longer than the outages of the store that the platform specifies (9 s). */
const RENEWAL_AUTHORITY_MS = 12_000;
const RETRY_MS = 200;
/** Long enough for two orders in a row without an answer. */
const UNRESPONSIVE_AFTER_MS = 1_500;

/** Returns the settings of key ownership for grants that last `holdMs`, at most `maxHoldMs`. */
export function createOwnershipSettings(holdMs: Milliseconds, maxHoldMs: Milliseconds): OwnershipSettings {
    const hold = Math.min(holdMs, maxHoldMs);
    return {
        holdMs: hold,
        renewMs: hold / RENEWALS_PER_GRANT,
        orderTimeoutMs: ORDER_TIMEOUT_MS,
        clockSlowness: CLOCK_SLOWNESS,
        expiryMarginMs: EXPIRY_MARGIN_MS,
        renewalAuthorityMs: RENEWAL_AUTHORITY_MS,
        retryMs: RETRY_MS,
        unresponsiveAfterMs: UNRESPONSIVE_AFTER_MS,
    };
}
