import type { Milliseconds, RequestId, ServerId } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { SliceGeneration } from "../orders/sliceGeneration.js";

/** A request to be sent to a backend server. */
export type BackendRequest = {
    readonly id: RequestId;
    readonly server: ServerId;
    /** IP address and port of the server. */
    readonly address: string;
    readonly method: string;
    /** Path and query to send to the server. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Body stream, or `undefined` for none. */
    readonly body: Readable | undefined;
    /** Time left until the caller's deadline. */
    readonly deadline: Milliseconds;
    /** Slice and fencing token of a keyed request; a server that checks it refuses an old one. */
    readonly slice: SliceGeneration | undefined;
    /** Cancels the request; the server may ignore that. */
    readonly signal: AbortSignal;
};
