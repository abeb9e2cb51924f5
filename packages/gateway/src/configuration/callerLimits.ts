import type { Milliseconds } from "@arbutusdoor/common";

/** Limits on what a caller may send and how long that may take. */
export type CallerLimits = {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: Milliseconds;
    /** How long a connection without requests is kept open. */
    readonly idleTimeoutMs: Milliseconds;
};
