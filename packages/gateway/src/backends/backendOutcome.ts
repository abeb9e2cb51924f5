import type { ConnectionId, HeaderFields } from "@arbutusdoor/common";
import type { Readable } from "node:stream";
import type { ServerNotice } from "./serverNotice.js";

/** Why a server did not run a request. */
type NotRunCause =
    /** No connection could be opened. */
    | "unreachable"
    /** It was not to be sent any more when it got its connection. */
    | "withheld"
    /** The server has no capacity, or the deadline passed in its queue. */
    | "shed"
    /** The server does not hold the key of the request, or another server has its address. */
    | "misdirected";

/**
 * How a request to one server ended: `answered` (the body errors unless it arrives completely); `notRun` (the server did not run it
 * and never will); `unknown` (it may have run); `cancelled` (aborted by the sender; it may have run if `isSent`). The connection is
 * `undefined` when the request was not sent.
 */
export type BackendOutcome =
    | {
        readonly kind: "answered";
        readonly status: number;
        readonly headers: HeaderFields;
        readonly body: Readable;
        /** Whether the answer proves that it is the server's own. */
        readonly isSigned: boolean;
        readonly notice?: ServerNotice;
        readonly connection?: ConnectionId;
    }
    | {
        readonly kind: "notRun";
        readonly cause: NotRunCause;
        readonly detail: string;
        readonly notice?: ServerNotice;
        readonly connection?: ConnectionId;
    }
    | { readonly kind: "unknown"; readonly detail: string; readonly connection?: ConnectionId; }
    | { readonly kind: "cancelled"; readonly isSent: boolean; readonly connection?: ConnectionId; };
