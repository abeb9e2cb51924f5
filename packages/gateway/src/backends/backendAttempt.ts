import type { ConnectionId, HeaderFields, Milliseconds, RequestId } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { RegisteredServer } from "../discovery/registeredServer.js";

/** A request as it is sent to one server. */
export type BackendAttempt = {
    readonly id: RequestId;
    readonly server: RegisteredServer;
    /** Connections that this host may open to the server; a few by default. */
    readonly connections?: number;
    readonly method: string;
    /** Path and query as the caller sent them. */
    readonly path: string;
    readonly headers: HeaderFields;
    readonly body: Uint8Array | Readable | undefined;
    /** Time that the server may take; also the timeout for the head of its answer. */
    readonly timeLeft: Milliseconds;
    /** Aborts the request: its connection is closed, which tells the server to stop. */
    readonly signal: AbortSignal;
    /**
     * Connections that carried attempts of the request. A further attempt goes over another one, which is added: an answer bears only the
     * id, so that a second answer to an earlier attempt could be taken for that to a later one on the same connection.
     */
    readonly carriers: Set<ConnectionId>;
    /** Whether the request may still be sent; asked when it gets its connection. */
    readonly maySend?: () => boolean;
};
