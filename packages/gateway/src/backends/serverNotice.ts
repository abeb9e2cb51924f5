import type { Milliseconds } from "@arbutusdoor/common";

/** What an answer says of the server that gave it, besides what it says of the request. */
export type ServerNotice = {
    /** Whether the server is leaving. */
    readonly isLeaving: boolean;
    /** How long the server wants no more requests from this host; `undefined` when it does not say. */
    readonly quietMs: Milliseconds | undefined;
    /** Header fields about the server that were ignored since their value is malformed, each with its value. */
    readonly ignored: readonly string[];
};
