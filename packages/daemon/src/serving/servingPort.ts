import type { SliceGeneration } from "@arbutusdoor/clients";
import type { Milliseconds, Refusal, ServerId } from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";

/** Ownership queries of the data path. */
export abstract class ServingPort {
    /** Returns where a request for the key goes now. */
    abstract getRoute(service: string, key: string): Route;

    /** Returns a refusal if this host may not send a request for the slice to the server now. */
    abstract mayServe(server: ServerId, slice: SliceGeneration): Refusal | undefined;

    /** Registers a request for the slice as under way to the server; returns a function to call once it has ended. */
    abstract beginRequest(server: ServerId, slice: SliceGeneration): () => void;

    /** Resolves at the next change of ownership known to this host, or after `timeout`. */
    abstract waitForChange(timeout: Milliseconds): Promise<void>;
}
