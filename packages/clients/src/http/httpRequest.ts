import type { HeaderFields, Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** A request as it is written to a connection. */
export type HttpRequest = {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: Readable | Uint8Array | undefined;
    /** Longest wait for the head of the answer, counted from the call. */
    readonly headTimeout: Milliseconds;
    /**
     * Whether an answer may end with its connection. Without a stated end a lost answer is told from a whole one only by
     * the way in which the connection ended.
     */
    readonly allowsUnstatedEnd?: boolean;
    /** Ends the exchange at any point; an answer body under way then breaks off with an error. */
    readonly signal?: AbortSignal;
};
