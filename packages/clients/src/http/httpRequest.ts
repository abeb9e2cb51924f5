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
    /** Whether an answer is this request's. Any other one shows that the connection is out of step, and ends it. */
    readonly isMatchingAnswer?: (status: number, headers: HeaderFields) => boolean;
    /** Ends the exchange at any point; an answer body under way then breaks off with an error. */
    readonly signal?: AbortSignal;
};
