import type { BackendAnswer } from "./backendAnswer.js";
import type { BackendRequest } from "./backendRequest.js";

/** Requests to backend servers over kept connections, at most a given number for each server. Calls never reject. */
export abstract class BackendTraffic {
    /** Sends a request and waits for the head of its answer. */
    abstract send(request: BackendRequest): Promise<BackendAnswer>;

    /** Sets the most connections that this process keeps to a server; a new value counts for new connections. */
    abstract limitConnections(address: string, connections: number): void;

    /** Closes all connections once their requests have ended. */
    abstract close(): Promise<void>;
}
