import type { Milliseconds } from "@arbutusdoor/common";

/** Bounds of what a caller may send and of how long it may take. */
export type CallerLimits = {
    readonly headerBytes: number;
    readonly bodyBytes: number;
    readonly headerTimeoutMs: Milliseconds;
    /** How long a connection without requests is kept. */
    readonly idleTimeoutMs: Milliseconds;
};
