import type { Milliseconds, RequestId, ServerId } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { SliceGeneration } from "../orders/sliceGeneration.js";

/** A request on its way to a backend server. */
export type BackendRequest = {
    readonly id: RequestId;
    readonly server: ServerId;
    /** IP number and port of the server. */
    readonly address: string;
    readonly method: string;
    /** Path and query as the server is to see it. */
    readonly path: string;
    readonly headers: Readonly<Record<string, string>>;
    /** Body stream, or `undefined` for none. */
    readonly body: Readable | undefined;
    /** Time left until the caller's deadline. */
    readonly deadline: Milliseconds;
    /** Slice and generation of a keyed request; the server refuses an old one if it checks. */
    readonly slice: SliceGeneration | undefined;
    /** Ends the request at the server, which may honour it. */
    readonly signal: AbortSignal;
};
