import * as z from "zod";

const KIBIBYTE = 1_024;
const MEBIBYTE = 1_048_576;

/** Limits and timeouts of the links between entry hosts. */
const MeshSettings = z.strictObject({
    /** Hosts open links only to hosts with the same cluster name. */
    cluster: z.string().min(1).max(63).default("arbutusdoor"),
    /** Longest time in ms without sending anything on a link. */
    heartbeatIntervalMs: z.int().min(10).max(60_000).default(100),
    /** Time in ms without receiving anything after which a link counts as lost. */
    heartbeatTimeoutMs: z.int().min(20).max(600_000).default(400),
    /** Longest time in ms from a new connection to an open link. */
    greetingTimeoutMs: z.int().min(10).max(60_000).default(400),
    reconnectMinMs: z.int().min(1).max(60_000).default(50),
    reconnectMaxMs: z.int().min(1).max(600_000).default(2_000),
    /** Time in ms before dialling a peer again after it or this host refused the link. */
    refusedRetryMs: z.int().min(100).max(3_600_000).default(30_000),
    /** Largest frame in bytes that is sent or accepted. */
    frameLimitBytes: z.int().min(4 * KIBIBYTE).max(16 * MEBIBYTE).default(MEBIBYTE),
    /** Largest handshake frame in bytes, before the peer is identified. */
    greetingLimitBytes: z.int().min(KIBIBYTE).max(MEBIBYTE).default(4 * KIBIBYTE),
    /** Largest chunk of a body in one message, in bytes. */
    chunkBytes: z.int().min(KIBIBYTE).max(MEBIBYTE).default(16 * KIBIBYTE),
    /** Messages are batched into a frame up to this size in bytes. */
    batchBytes: z.int().min(KIBIBYTE).max(MEBIBYTE).default(64 * KIBIBYTE),
    /** Bytes that a socket may buffer before the link stops writing. */
    socketBufferBytes: z.int().min(KIBIBYTE).max(16 * MEBIBYTE).default(128 * KIBIBYTE),
    /** Bytes of one body that may be in transit or unread. */
    streamWindowBytes: z.int().min(KIBIBYTE).max(16 * MEBIBYTE).default(256 * KIBIBYTE),
    /** Most concurrent relayed requests on a link, in each direction. */
    maxStreams: z.int().min(1).max(65_536).default(512),
    /** Most concurrent requests of peers on a host. */
    maxRunning: z.int().min(1).max(1_048_576).default(16_384),
    /** Most queued control messages on a link. */
    maxQueuedControl: z.int().min(1).max(1_048_576).default(1_024),
    /** Most open links. */
    maxLinks: z.int().min(1).max(65_536).default(1_024),
    /** Most hosts that are dialled or remembered. */
    maxSeeds: z.int().min(1).max(65_536).default(1_024),
    /** Time in ms after which an added address that does not answer is no longer dialled. */
    seedForgetMs: z.int().min(1_000).max(86_400_000).default(600_000),
    /** Most connections that have not finished their handshake. */
    maxGreetings: z.int().min(1).max(65_536).default(64),
    /** Longest wait in ms for a new link and the status of a request whose link was lost. */
    askTimeoutMs: z.int().min(1).max(600_000).default(1_000),
    /** Time in ms after the deadline to wait for the peer's own refusal. */
    deadlineGraceMs: z.int().min(0).max(60_000).default(100),
    /** Number of finished request ids that are remembered. */
    requestMemory: z.int().min(1).max(16_777_216).default(65_536),
    /** Number of lost links whose last stream number is remembered. */
    linkMemory: z.int().min(1).max(1_048_576).default(4_096),
    /** Most log lines per second of each event that a peer can trigger at will. */
    logLinesPerSecond: z.int().min(1).max(1_000).default(10),
    /** Longest wait in ms of a graceful shutdown for requests in progress. */
    closeTimeoutMs: z.int().min(0).max(3_600_000).default(30_000),
}).refine(settings => settings.chunkBytes * 2 <= settings.frameLimitBytes, {
    message: "must be at most half of frameLimitBytes",
    path: ["chunkBytes"],
}).refine(settings => settings.batchBytes <= settings.frameLimitBytes, {
    message: "must be at most frameLimitBytes",
    path: ["batchBytes"],
}).refine(settings => settings.heartbeatTimeoutMs >= settings.heartbeatIntervalMs * 2, {
    message: "must be at least twice heartbeatIntervalMs",
    path: ["heartbeatTimeoutMs"],
});

type MeshSettings = z.infer<typeof MeshSettings>;

export { MeshSettings };
