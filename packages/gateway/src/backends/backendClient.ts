import type { BackendAttempt } from "./backendAttempt.js";
import type { BackendOutcome } from "./backendOutcome.js";

/** Sends requests to backend servers. Calls never reject: every failure is an outcome. */
export abstract class BackendClient {
    /** Sends a request to one server, once. */
    abstract send(request: BackendAttempt): Promise<BackendOutcome>;

    /** Sets the maximum number of connections that this host opens to an address. */
    abstract limitConnections(address: string, connections: number): void;

    /** Closes the connections when the pending requests have ended. */
    abstract close(): Promise<void>;
}
