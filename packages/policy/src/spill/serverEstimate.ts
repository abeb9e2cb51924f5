import type { Milliseconds } from "@arbutusdoor/common";
import type { PoolCandidate } from "../pool/poolCandidate.js";

/** What is expected of a candidate for a request that is sent now. */
export type ServerEstimate = {
    readonly candidate: PoolCandidate;
    /** Time to its answer. */
    readonly expectedMs: Milliseconds;
    /** Requests of this host that are outstanding there. */
    readonly outstanding: number;
    /** For how long the oldest of them has had no answer. */
    readonly oldestAgeMs: Milliseconds;
};
