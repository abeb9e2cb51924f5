import type { Milliseconds } from "@arbutusdoor/common";
import type { RouteTarget } from "./routeTarget.js";

/** One route of the operator's configuration. */
export type Route = {
    readonly name: string;
    /** Host name of the requests, in lower case and without a port. */
    readonly authority: string;
    /** Beginning of the path; starts and ends with a slash. */
    readonly pathPrefix: string;
    /** Whether a request may run more than once. */
    readonly isIdempotent: boolean;
    /** Longest time that a caller is kept waiting. */
    readonly timeoutMs: Milliseconds;
    /** Time within which an answer is worth most. */
    readonly objectiveMs: Milliseconds;
    /** Rank among the routes; 0 is the most urgent. */
    readonly priority: number;
    /** Most servers that one request may be sent to. */
    readonly maxAttempts: number;
    readonly targets: readonly RouteTarget[];
};
