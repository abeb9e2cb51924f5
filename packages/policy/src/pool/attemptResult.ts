import type { Milliseconds, OutcomeKind } from "@arbutusdoor/common";

/** How a request to one server ended, as observed by the host that sent it. */
export type AttemptResult = {
    readonly kind: OutcomeKind;
    readonly durationMs: Milliseconds;
    /** True when the caller disconnected or its deadline passed, so that the result says nothing about the server. */
    readonly isWithdrawn?: boolean;
    /** Name of the request's route. */
    readonly route?: string;
    /** Length of the answer's body; absent without an answer. */
    readonly answerBytes?: number | undefined;
};
