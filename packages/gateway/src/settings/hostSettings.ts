import type { DataCentreId, HostId, Milliseconds } from "@arbutusdoor/common";

/** What a host learns from the platform's settings file. */
export type HostSettings = {
    readonly host: HostId;
    readonly ip: string;
    readonly dataCentre: DataCentreId;
    /** Addresses (IP number and port) for callers and for the platform's question whether this host is ready. */
    readonly callerAddress: string;
    readonly readinessAddress: string;
    /** Port on which hosts take links from each other; the same on all hosts. */
    readonly linkPort: number;
    /** IP number and port of the platform's store. */
    readonly storeAddress: string;
    /** Whether hosts give orders to the servers that own keys. */
    readonly descriptorLimit: number;
    readonly memoryBytes: number;
    readonly bounds: {
        /** Within this time after the store's acknowledgement a leaving server must get no more requests. */
        readonly drainMs: Milliseconds;
        /** Time between SIGTERM and SIGKILL. */
        readonly graceMs: Milliseconds;
        /** Longest hold that servers accept in a grant. */
        readonly maxHoldMs: Milliseconds;
        /** Repeats that a service may get, as a share of its requests within the window, plus a constant. */
        readonly retryShare: number;
        readonly retryWindowMs: Milliseconds;
        readonly retryAllowance: number;
    };
};
