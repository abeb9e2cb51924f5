import type { Clock, Metrics } from "@arbutusdoor/common";
import type { HttpLimits } from "./httpLimits.js";

/** Options of every adapter of an outside system. */
export type AdapterOptions = {
    readonly clock: Clock;
    readonly metrics: Metrics;
    readonly limits: HttpLimits;
};
