import type { ConnectionId, Milliseconds } from "@arbutusdoor/common";

/** Where an attempt went and how long it took, for the log. */
export type AttemptTrace = {
    /** The connection over which it was sent; `undefined` when it was not sent. */
    readonly connection: ConnectionId | undefined;
    readonly durationMs: Milliseconds;
};
