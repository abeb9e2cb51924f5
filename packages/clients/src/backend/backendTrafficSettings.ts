import * as z from "zod";

const DEFAULT_CONNECTIONS = 8;
const DEFAULT_CONNECT_TIMEOUT_MS = 1_000;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_WAITING_LIMIT = 1_024;
const DEFAULT_ADDRESS_LIMIT = 4_096;

/** Limits of the connections to backend servers. */
const BackendTrafficSettings = z.strictObject({
    /** Name of this entry host, sent to servers. */
    host: z.string().min(1),
    /** Connections to a server without a limit of its own. */
    connections: z.int().min(1).max(100_000).default(DEFAULT_CONNECTIONS),
    connectTimeoutMs: z.int().min(1).max(60_000).default(DEFAULT_CONNECT_TIMEOUT_MS),
    /** Time in ms that an unused connection is kept; must be shorter than the servers keep theirs. */
    idleTimeoutMs: z.int().min(1).max(600_000).default(DEFAULT_IDLE_TIMEOUT_MS),
    /** Most requests to one server that wait for a connection or for the head of their answer; further ones are not run. */
    waitingLimit: z.int().min(1).max(1_000_000).default(DEFAULT_WAITING_LIMIT),
    /** Number of servers above which connections without requests are closed. */
    addressLimit: z.int().min(1).max(1_000_000).default(DEFAULT_ADDRESS_LIMIT),
});

type BackendTrafficSettings = z.infer<typeof BackendTrafficSettings>;

export { BackendTrafficSettings };
