import type { Milliseconds, OutcomeKind } from "@arbutusdoor/common";
import type { SimulatedRequest } from "../simulation/simulatedRequest.js";

/** What a simulated caller was told. */
export type RequestOutcome = {
    readonly request: SimulatedRequest;
    readonly kind: OutcomeKind;
    /** Reason of a refusal; empty when answered. */
    readonly reason: string;
    readonly at: Milliseconds;
};
