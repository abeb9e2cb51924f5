import type { ConnectionId } from "@arbutusdoor/common";

/** The connection to which an exchange is assigned; its pool sets the function. */
export type AssignedConnection = { getId: () => ConnectionId | undefined; };
