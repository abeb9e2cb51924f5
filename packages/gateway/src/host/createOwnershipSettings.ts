import type { Milliseconds } from "@arbutusdoor/common";
import type { OwnershipSettings } from "../ownership/ownershipSettings.js";

/** Two renewals may fail before a hold ends; each order takes the coordinator about 0.3 ms of processor time. */
const RENEWALS_PER_HOLD = 2.5;
/** Orders are given up after 800 ms; their connection is closed then. */
const ORDER_TIMEOUT_MS = 800;
/** The platform's protocol: a server's clock may run 2 % slow. */
const CLOCK_SLOWNESS = 0.02;
const LAPSE_MARGIN_MS = 300;
/** Longer than the outages of the store that the platform names (9 s). */
const RENEWAL_AUTHORITY_MS = 12_000;
const RETRY_MS = 200;
/** Two orders in a row without an answer. */
const SILENCE_MS = 1_500;

/** Times of key ownership for a hold. */
export function createOwnershipSettings(holdMs: Milliseconds, maxHoldMs: Milliseconds): OwnershipSettings {
    const hold = Math.min(holdMs, maxHoldMs);
    return {
        holdMs: hold,
        renewMs: hold / RENEWALS_PER_HOLD,
        orderTimeoutMs: ORDER_TIMEOUT_MS,
        clockSlowness: CLOCK_SLOWNESS,
        expiryMarginMs: LAPSE_MARGIN_MS,
        renewalAuthorityMs: RENEWAL_AUTHORITY_MS,
        retryMs: RETRY_MS,
        unresponsiveAfterMs: SILENCE_MS,
    };
}
