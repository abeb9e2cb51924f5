import type { HostStop } from "./hostStop.js";

/** How it is judged whether hosts lose requests around SIGTERM. */
export type StopJudgement = {
    /** Time in ms from SIGTERM within which a host has to end. */
    readonly graceMs: number;
    /** Time in ms after which a caller gives its request up. */
    readonly timeoutMs: number;
    readonly stops: readonly HostStop[];
};
