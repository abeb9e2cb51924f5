import type { Milliseconds, OutcomeKind } from "@arbutusdoor/common";

/** How a request to one server ended, as the entry host saw it. */
export type RequestEnd = {
    readonly kind: OutcomeKind;
    readonly durationMs: Milliseconds;
};
