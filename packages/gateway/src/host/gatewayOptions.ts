import type { Milliseconds } from "@arbutusdoor/common";
import type { SpillRule } from "@arbutusdoor/policy";

/** Settings of this program in addition to the platform's settings file. */
export type GatewayOptions = {
    /** Keys of each stripe in the initial assignment. */
    readonly stripeKeys: number;
    /** How long a grant of keys lasts. */
    readonly holdMs: Milliseconds;
    /** How requests are admitted under load: `servers` (the servers alone refuse) or `estimates` (hosts refuse what cannot be in time). */
    readonly admission: "servers" | "estimates";
    /** Port of the metrics page on this host. */
    readonly metricsPort: number;
    /** How requests for pooled services are kept in their data centre. */
    readonly spill: SpillRule;
};
