import type { ConnectionId } from "@arbutusdoor/common";

/** An open connection of a pool. */
export type OpenConnection = {
    readonly id: ConnectionId;
    /** Whether it carries no further request: a second copy of its last answer could be taken for that to another one. */
    isRetired: boolean;
};
