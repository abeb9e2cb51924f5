import type { SliceGeneration } from "@arbutusdoor/clients";
import type { Milliseconds, Refusal, ServerId } from "@arbutusdoor/common";
import type { Route } from "@arbutusdoor/ownership";

/** What the data path asks of ownership. */
export abstract class ServingPort {
    /** Where a request of a key goes now. */
    abstract getRoute(service: string, key: string): Route;

    /** Whether this host may send a request of the slice to the server now; the refusal when it may not. */
    abstract mayServe(server: ServerId, slice: SliceGeneration): Refusal | undefined;

    /** Tells that a request of the slice is on its way to the server; returns what to call once it has ended. */
    abstract beginRequest(server: ServerId, slice: SliceGeneration): () => void;

    /** Resolves at the next change of ownership known to this host, or after `timeout`. */
    abstract waitForChange(timeout: Milliseconds): Promise<void>;
}
