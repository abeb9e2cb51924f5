import type { Milliseconds } from "@arbutusdoor/common";

/** What the choice of a pooled server has to know of a request. */
export type PoolRequest = {
    /** Name of its route. */
    readonly route: string;
    /** Target latency of the route. */
    readonly targetMs: Milliseconds;
    /** Priority of the route; 0 is the highest. */
    readonly priority: number;
    /** How long the caller still waits. */
    readonly timeLeftMs: Milliseconds;
    /** Whether an unknown outcome of the request is harmless, so that it may probe an ejected server. */
    readonly isIdempotent: boolean;
};
