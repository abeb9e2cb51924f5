import type { ServerId } from "@arbutusdoor/common";

/** A server that a pooled request may go to. */
export type PoolCandidate = {
    readonly server: ServerId;
    /** Requests that the server runs at a time, for all entry hosts together. */
    readonly slots: number;
    /** Most requests that this entry host may have at the server at a time: its share of the connections. */
    readonly limit: number;
    /** Load that the server last reported, in requests; lags and may mislead. */
    readonly reportedLoad?: number;
    /** Factor on the cost of choosing the server, above 1 for one that is better spared; 1 when left out. */
    readonly costFactor?: number;
};
