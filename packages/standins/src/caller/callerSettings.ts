import * as z from "zod";

const DEFAULT_COUNT = 300;
const DEFAULT_RATE = 50;
const DEFAULT_SECONDS = 30;
const DEFAULT_IN_FLIGHT = 64;
const DEFAULT_KEYS = 50;
const DEFAULT_UPLOAD_BYTES = 100_000;
const DEFAULT_TIMEOUT_MS = 15_000;

/** Settings of the callers: what they send, how fast and for how long. */
const CallerSettings = z.strictObject({
    seed: z.int().default(1),
    /** Names the requests of this run apart from those of others. */
    name: z.string().min(1).default("caller"),
    /** IP numbers and ports of entry hosts. */
    entryHosts: z.array(z.string().min(1)).min(1),
    /** Services that are read, filed with once, and uploaded to. */
    reads: z.array(z.string().min(1)).default([]),
    filings: z.array(z.string().min(1)).default([]),
    uploads: z.array(z.string().min(1)).default([]),
    /** Requests in all, repeats not counted. */
    count: z.int().min(1).max(1_000_000).default(DEFAULT_COUNT),
    requestsPerSecond: z.number().positive().max(10_000).default(DEFAULT_RATE),
    /** Time in s after which no more requests are sent. */
    seconds: z.number().positive().max(3_600).default(DEFAULT_SECONDS),
    /** Requests under way at a time; those beyond it are skipped and counted. */
    inFlight: z.int().min(1).max(10_000).default(DEFAULT_IN_FLIGHT),
    /** Keys that requests are about; low ones are asked for more often. */
    keys: z.int().min(1).max(1_000_000).default(DEFAULT_KEYS),
    uploadBytes: z.int().min(0).max(268_435_456).default(DEFAULT_UPLOAD_BYTES),
    /** Repeats of a filing whose outcome is not an answer. */
    repeats: z.int().min(0).max(10).default(1),
    /** Time in ms until a caller gives an attempt up. */
    timeoutMs: z.int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MS),
});

type CallerSettings = z.infer<typeof CallerSettings>;

export { CallerSettings };
