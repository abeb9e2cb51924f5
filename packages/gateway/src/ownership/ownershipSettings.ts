import type { Milliseconds } from "@arbutusdoor/common";

/** Times for sending grants and for treating them as expired. */
export type OwnershipSettings = {
    /** How long a grant is valid after its arrival. */
    readonly holdMs: Milliseconds;
    /** Time between renewals of a grant. */
    readonly renewMs: Milliseconds;
    /** Longest time that an order may take; its connection is closed then. */
    readonly orderTimeoutMs: Milliseconds;
    /** Share by which a server's clock may run slow when it measures how long a grant is valid (the platform's protocol). */
    readonly clockSlowness: number;
    /** Added to every time after which a grant is treated as expired. */
    readonly expiryMarginMs: Milliseconds;
    /** How long a coordinator that cannot reach the store goes on renewing its grants. */
    readonly renewalAuthorityMs: Milliseconds;
    /** Delay before a failed order is retried. */
    readonly retryMs: Milliseconds;
    /** Time without an answer after which a server's keys get other owners. */
    readonly unresponsiveAfterMs: Milliseconds;
};
