import type { Milliseconds } from "@arbutusdoor/common";

/** What a request's deadline says of its caller. */
export type CallerReturn = {
    /** Whether it is the first attempt, came back after the time that the caller was told, or is repeated too early or too often. */
    readonly kind: "first" | "returned" | "repeated";
    /** How long ago the first attempt was; 0 for first attempts. */
    readonly elapsedMs: Milliseconds;
};
