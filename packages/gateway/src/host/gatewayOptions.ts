import type { Milliseconds } from "@arbutusdoor/common";

/** Settings of this program's own, beside what the platform's settings file says. */
export type GatewayOptions = {
    /** Keys of each stripe in the first layout. */
    readonly stripeKeys: number;
    /** How long a grant of keys lasts. */
    readonly holdMs: Milliseconds;
    /** Port of the metrics page on this host. */
    readonly metricsPort: number;
};
