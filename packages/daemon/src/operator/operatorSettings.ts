import * as z from "zod";

const DEFAULT_PORT = 7_003;
const DEFAULT_BODY_LIMIT_BYTES = 8_388_608;
const DEFAULT_MAX_WATCHERS = 16;
const DEFAULT_WATCH_BUFFER_BYTES = 262_144;
const DEFAULT_WATCH_HEARTBEAT_MS = 5_000;
const DEFAULT_BODY_TIMEOUT_MS = 30_000;

/** Limits of the operators' port. The token is not among them, as it is a secret. */
const OperatorSettings = z.strictObject({
    /** IP address to listen on. */
    address: z.string().default("127.0.0.1"),
    /** 0 selects any free port. */
    port: z.int().min(0).max(65_535).default(DEFAULT_PORT),
    bodyLimitBytes: z.int().min(1_024).max(1_073_741_824).default(DEFAULT_BODY_LIMIT_BYTES),
    /** Longest time in ms for receiving a request with its body. */
    bodyTimeoutMs: z.int().min(100).max(600_000).default(DEFAULT_BODY_TIMEOUT_MS),
    /** Open watch streams at a time. */
    maxWatchers: z.int().min(0).max(1_000).default(DEFAULT_MAX_WATCHERS),
    /** Unread bytes after which a slow watcher is dropped. */
    watchBufferBytes: z.int().min(1_024).max(67_108_864).default(DEFAULT_WATCH_BUFFER_BYTES),
    /** Interval in ms of empty lines on a watch stream, which show a reader that it is alive. */
    watchHeartbeatMs: z.int().min(10).max(60_000).default(DEFAULT_WATCH_HEARTBEAT_MS),
});

type OperatorSettings = z.infer<typeof OperatorSettings>;

export { OperatorSettings };
