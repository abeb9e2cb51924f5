import type { DataCentreId, HostId, Milliseconds } from "@arbutusdoor/common";

/** The settings of a host from the platform's settings file. */
export type HostSettings = {
    readonly host: HostId;
    readonly ip: string;
    readonly dataCentre: DataCentreId;
    /** Addresses (IP address and port) for callers and for the platform's readiness checks. */
    readonly callerAddress: string;
    readonly readinessAddress: string;
    /** Port on which hosts accept links from each other; the same on all hosts. */
    readonly linkPort: number;
    /** IP address and port of the platform's store. */
    readonly storeAddress: string;
    /** Maximum number of file descriptors. */
    readonly descriptorLimit: number;
    readonly memoryBytes: number;
    /** Processor time that this host has, in cores. */
    readonly processorCores: number;
    readonly bounds: {
        /** Time after the store's acknowledgement by which a leaving server must get no more requests. */
        readonly drainMs: Milliseconds;
        /** Time after the store's acknowledgement by which a configuration must be in effect. */
        readonly applyMs: Milliseconds;
        /** Time between SIGTERM and SIGKILL. */
        readonly graceMs: Milliseconds;
        /** Longest duration of a grant that servers accept. */
        readonly maxHoldMs: Milliseconds;
        /** Retries that a service may get: a share of its requests within the window, plus a constant allowance. */
        readonly retryShare: number;
        readonly retryWindowMs: Milliseconds;
        readonly retryAllowance: number;
        /**
         * Limit on the requests that a cold server gets in any second from all hosts together: its tolerated rate times `coldOvershoot`,
         * plus `coldSlack`. Absent where the platform sets none.
         */
        readonly coldOvershoot?: number;
        readonly coldSlack?: number;
        /** Time after the store's acknowledgement by which the servers of an evacuated data centre must get no more requests. */
        readonly evacuationMs?: Milliseconds;
    };
};
