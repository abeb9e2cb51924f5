import { HttpLimits } from "@arbutusdoor/clients";
import { ManualClock, Metrics } from "@arbutusdoor/common";
import type * as z from "zod";

/** Creates adapter options with a manual clock and the limits of the test. */
export function createAdapterOptions(limits: z.input<typeof HttpLimits> = {}): {
    readonly clock: ManualClock;
    readonly metrics: Metrics;
    readonly limits: HttpLimits;
} {
    return { clock: new ManualClock(), metrics: new Metrics(), limits: HttpLimits.parse(limits) };
}
