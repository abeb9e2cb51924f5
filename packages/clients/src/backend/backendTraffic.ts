import type { BackendAnswer } from "./backendAnswer.js";
import type { BackendRequest } from "./backendRequest.js";

/** Sends requests to backend servers over a limited number of persistent connections per server. Calls never reject. */
export abstract class BackendTraffic {
    /** Sends a request and waits for the head of its answer. */
    abstract send(request: BackendRequest): Promise<BackendAnswer>;

    /** Limits the connections that this process keeps to a server; a new limit applies to new connections. */
    abstract limitConnections(address: string, connections: number): void;

    /** Closes all connections once their requests have ended. */
    abstract close(): Promise<void>;
}
