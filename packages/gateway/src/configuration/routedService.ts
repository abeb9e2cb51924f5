import type { Milliseconds, ServiceId } from "@arbutusdoor/common";

/** A service as the operator has configured it. */
export type RoutedService = {
    readonly id: ServiceId;
    /** Connections that a server accepts from all hosts together. */
    readonly maxConnections: number;
    /** Whether each key is owned by one server. */
    readonly isKeyed: boolean;
    /** How long requests for keys are slow on a server that got the keys without a handover. */
    readonly coldKeysMs: Milliseconds;
    /** Requests a second that a server tolerates while it is cold; absent when the operator sets no limit. */
    readonly coldRequestsPerS?: number;
};
