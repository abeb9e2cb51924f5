import type { ConnectionId, HeaderFields, Milliseconds } from "@arbutusdoor/common";
import type { Readable } from "node:stream";

/** A request to send over a connection. */
export type HttpRequest = {
    readonly method: string;
    readonly path: string;
    readonly headers: HeaderFields;
    /** Returns further header fields; asked when the request gets its connection. */
    readonly getLateHeaders?: () => HeaderFields;
    readonly body: Readable | Uint8Array | undefined;
    /** Longest wait for the head of the answer, counted from the call. */
    readonly headTimeout: Milliseconds;
    /** Whether an answer belongs to this request. Any other answer means that the connection is out of sync, and it is closed. */
    readonly isMatchingAnswer?: (status: number, headers: HeaderFields) => boolean;
    /**
     * Whether an answer is the last one that its connection carries: a second copy of it could be taken for that to a later request, which
     * would be told something untrue. By default each connection is used again.
     */
    readonly isLastAnswer?: (status: number, headers: HeaderFields) => boolean;
    /** Whether the other side is asked to close the connection after the answer. */
    readonly closesConnection?: boolean;
    /** Aborts the exchange at any point; an answer body in progress then ends with an error. */
    readonly signal?: AbortSignal;
    /**
     * Connections that have carried a request with the same id. None of them is used, since a second copy of an earlier answer could be
     * taken for that to this request; the connection that is used is added.
     */
    readonly carriers?: Set<ConnectionId>;
    /** Whether the request may still be sent; asked when it gets its connection. */
    readonly maySend?: () => boolean;
};
