import type { Clock, Metrics } from "@arbutusdoor/common";
import type { HttpLimits } from "./httpLimits.js";

/** What every adapter of an outside system is made of. */
export type AdapterOptions = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly limits: HttpLimits;
};
