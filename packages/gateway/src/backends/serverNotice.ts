import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerLoad } from "./serverLoad.js";

/** What an answer says of the server that gave it, besides what it says of the request. */
export type ServerNotice = {
    /** Whether the server is leaving. */
    readonly isLeaving: boolean;
    /** How long the server wants no more requests from this host; `undefined` when it does not say. */
    readonly quietMs: Milliseconds | undefined;
    /** The server's load; absent when it does not report any. */
    readonly load?: ServerLoad;
    /** How much longer the server is slow and tolerates few requests; absent when it does not say. */
    readonly coldMs?: Milliseconds;
    /** Header fields about the server that were ignored since their value is malformed, each with its value. */
    readonly ignored: readonly string[];
};
