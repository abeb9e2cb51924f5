import type { DataCentreId, Milliseconds, ServerId } from "@arbutusdoor/common";

/** A server that a pooled request may go to. */
export type PoolCandidate = {
    readonly server: ServerId;
    /** Requests that the server runs at a time, for all hosts together. */
    readonly slots: number;
    /** Maximum number of outstanding requests of this host at the server: its share of the connections. */
    readonly limit: number;
    /** Load that the server last reported, in requests; outdated and possibly wrong. */
    readonly reportedLoad?: number;
    /** Factor on the cost of choosing the server, above 1 for one that is to be avoided; 1 if omitted. */
    readonly costFactor?: number;
    /** Data centre of the server; candidates without one count as being in the same. */
    readonly dataCentre?: DataCentreId;
    /** Whether the server is in another data centre than this host. */
    readonly isRemote?: boolean;
    /** How long a request would wait there for a slot, by the server's own report; absent without a recent one. */
    readonly expectedStartMs?: Milliseconds | undefined;
};
