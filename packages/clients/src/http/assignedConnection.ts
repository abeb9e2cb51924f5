import type { OpenConnection } from "./openConnection.js";

/** The connection to which an exchange is assigned; its pool sets the function. */
export type AssignedConnection = { get: () => OpenConnection | undefined; };
