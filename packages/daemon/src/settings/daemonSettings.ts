import * as z from "zod";

const ADDRESS_PATTERN = /^(\d{1,3}(\.\d{1,3}){3}|\[[0-9a-fA-F:]+\]):\d{1,5}$/;
const NAME_PATTERN = /^[a-z0-9][a-z0-9-]{0,62}$/;
const MIN_TOKEN_LENGTH = 16;
const MAX_PORT = 65_535;

const portSchema = z.coerce.number().int("must be a whole number").min(0).max(MAX_PORT);
const millisecondsSchema = z.coerce.number().int("must be a whole number of milliseconds").min(1).max(
    3_600_000,
);
const countSchema = z.coerce.number().int("must be a whole number").min(1).max(10_000_000);
const nameSchema = z.string().regex(NAME_PATTERN, "must be 1 to 63 lower-case letters, digits or hyphens");
const addressListSchema = z.string().transform(text =>
    text.split(",").map(part => part.trim()).filter(Boolean)
)
    .pipe(z.array(z.string().regex(ADDRESS_PATTERN, "must be IP numbers with ports, separated by commas")));

/** Settings of the daemon; each has a flag and an environment variable, see docs/SETTINGS.md. */
const DaemonSettings = z.strictObject({
    host: nameSchema.describe("name of this entry host, unique in the whole system"),
    dataCentre: nameSchema.describe("data centre of this entry host"),
    listen: z.string().default("127.0.0.1").describe("IP address to listen on"),
    advertise: z.string().optional().describe(
        "IP address by which other entry hosts reach this one; `listen` when absent",
    ),
    callerPort: portSchema.default(7080).describe("port for callers"),
    operatorPort: portSchema.default(7081).describe("port for operators"),
    peerPort: portSchema.default(7082).describe("port for other entry hosts"),
    monitorPort: portSchema.default(7083).describe("port for /healthz, /readyz and /metrics"),
    seeds: addressListSchema.default([]).describe(
        "initial peer addresses to connect to, separated by commas",
    ),
    tableService: z.url().describe("base address of the platform's table service"),
    objectStore: z.url().describe("base address of the platform's object store"),
    hostList: z.url().describe("base address of the platform's host list"),
    operatorToken: z.string().min(MIN_TOKEN_LENGTH, "must have 16 characters at least")
        .describe("token of operators; environment only"),
    peerToken: z.string().min(MIN_TOKEN_LENGTH, "must have 16 characters at least").optional()
        .describe("token shared by all entry hosts; environment only"),
    logLevel: z.enum(["debug", "info", "warn", "error"]).default("info").describe(
        "lowest level of log lines that are written",
    ),
    seed: z.coerce.number().int().optional().describe(
        "seed of random numbers; derived from the start time when absent",
    ),
    callerIdleMs: millisecondsSchema.default(75_000)
        .describe(
            "time in ms that an idle connection of a caller is kept; longer than the load balancer keeps its own",
        ),
    headerLimitBytes: countSchema.default(16_384).describe("maximum bytes of a request's header section"),
    bufferedBodyBytes: countSchema.default(65_536).describe(
        "bodies up to this size in bytes are read whole before they are forwarded",
    ),
    inFlightLimit: countSchema.default(10_000).describe("maximum requests of callers in flight"),
    heldRequestLimit: countSchema.default(2_000).describe(
        "maximum requests that wait for their key to have an owner",
    ),
    requestsOverSlots: z.coerce.number().int().min(0).max(1_000).default(1).describe(
        "requests to a keyed server beyond its slots that may be in transit, so that no slot stays idle during the hop",
    ),
    ownerWaitMs: millisecondsSchema.default(2_000).describe(
        "longest wait in ms of a request for its key to have an owner",
    ),
    readyDelayMs: z.coerce.number().int().min(0).max(600_000).default(2_000)
        .describe("time in ms between reporting not ready and the end of listening in a graceful stop"),
    stopLimitMs: millisecondsSchema.default(120_000).describe("longest graceful stop in ms"),
    pollIntervalMs: millisecondsSchema.default(1_000).describe(
        "time in ms between polls of the configuration head, the host list and pooled servers",
    ),
    tableTimeoutMs: millisecondsSchema.default(1_000).describe(
        "timeout in ms of calls to the table service, the object store and the host list",
    ),
    tableReadsPerSecond: countSchema.default(100).describe("maximum reads of the table service per second"),
    tableWritesPerSecond: countSchema.default(30).describe("maximum writes to the table service per second"),
});

type DaemonSettings = z.infer<typeof DaemonSettings>;

export { DaemonSettings };
