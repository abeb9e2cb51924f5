import * as z from "zod";

const DEFAULT_CONNECTIONS = 4;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_ADDRESS_LIMIT = 4_096;

/** Limits of the connections for orders, which are separate from those for requests. */
const ServerOrdersSettings = z.strictObject({
    /** Connections to one server; several, so that a renewal does not wait behind an unanswered one. */
    connections: z.int().min(1).max(100).default(DEFAULT_CONNECTIONS),
    connectTimeoutMs: z.int().min(1).max(60_000).default(DEFAULT_CONNECT_TIMEOUT_MS),
    /** Time in ms that an unused connection is kept; must be shorter than the servers keep theirs. */
    idleTimeoutMs: z.int().min(1).max(600_000).default(DEFAULT_IDLE_TIMEOUT_MS),
    /** Number of servers above which connections without requests are closed. */
    addressLimit: z.int().min(1).max(1_000_000).default(DEFAULT_ADDRESS_LIMIT),
});

type ServerOrdersSettings = z.infer<typeof ServerOrdersSettings>;

export { ServerOrdersSettings };
