import type { Milliseconds } from "@arbutusdoor/common";

/** Times by which grants are sent and taken for lapsed. */
export type OwnershipSettings = {
    /** How long a grant lasts from its arrival. */
    readonly holdMs: Milliseconds;
    /** Time between renewals of a grant. */
    readonly renewMs: Milliseconds;
    /** Longest time that an order may be on its way; its connection is closed then. */
    readonly orderTimeoutMs: Milliseconds;
    /** Servers may measure a hold with a clock that runs slow by this share (the platform's protocol). */
    readonly clockSlowness: number;
    /** Added to every time by which a grant is taken for lapsed. */
    readonly expiryMarginMs: Milliseconds;
    /** How long a coordinator that cannot reach the store goes on renewing grants that it had given. */
    readonly renewalAuthorityMs: Milliseconds;
    /** Pause before an order that failed is sent again. */
    readonly retryMs: Milliseconds;
    /** Time without an answer after which a server's keys are planned elsewhere. */
    readonly unresponsiveAfterMs: Milliseconds;
};
