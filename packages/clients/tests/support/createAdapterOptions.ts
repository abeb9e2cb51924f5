import { HttpLimits } from "@arbutusdoor/clients";
import { ManualClock, Metrics } from "@arbutusdoor/common";
import type { z } from "zod";

/** What adapters are made of in tests: a clock that moves when told to, and the limits that a test sets. */
export function createAdapterOptions(limits: z.input<typeof HttpLimits> = {}): {
    readonly clock: ManualClock;
    readonly metrics: Metrics;
    readonly limits: HttpLimits;
} {
    return { clock: new ManualClock(), metrics: new Metrics(), limits: HttpLimits.parse(limits) };
}
