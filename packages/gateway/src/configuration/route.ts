import type { Milliseconds } from "@arbutusdoor/common";
import type { RouteTarget } from "./routeTarget.js";

/** One route of the operator's configuration. */
export type Route = {
    readonly name: string;
    /** Host name of the requests in lower case, without a port. */
    readonly authority: string;
    /** Prefix of the path; starts and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Longest time that a caller waits for an answer. */
    readonly timeoutMs: Milliseconds;
    /** Target latency of an answer. */
    readonly objectiveMs: Milliseconds;
    /** Priority among the routes; 0 is the highest. */
    readonly priority: number;
    /** Maximum number of attempts in which one request may run. */
    readonly maxAttempts: number;
    readonly targets: readonly RouteTarget[];
};
