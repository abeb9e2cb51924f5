import type { Milliseconds, OutcomeKind } from "@arbutusdoor/common";

/** How a request to one server ended, as the entry host saw it. */
export type AttemptResult = {
    readonly kind: OutcomeKind;
    readonly durationMs: Milliseconds;
    /** True when the caller left or its deadline passed, so that the end says nothing about the server. */
    readonly isWithdrawn?: boolean;
};
