import { z } from "zod";

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_REQUESTS_PER_SECOND = 200;
const DEFAULT_CONCURRENCY = 16;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_WAITING_LIMIT = 1_024;
const DEFAULT_ANSWER_LIMIT_BYTES = 67_108_864;

/** Bounds of the requests that one adapter sends to an outside system. */
const HttpLimits = z.strictObject({
    /** Time in ms from the call to the whole answer, waiting included. */
    timeoutMs: z.int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MS),
    /** Requests that begin in a second. */
    requestsPerSecond: z.int().min(1).max(1_000_000).default(DEFAULT_REQUESTS_PER_SECOND),
    /** Requests under way at a time; as many connections are kept. */
    concurrency: z.int().min(1).max(10_000).default(DEFAULT_CONCURRENCY),
    /** Time in ms that an unused connection is kept; must be shorter than the other side keeps it. */
    idleTimeoutMs: z.int().min(1).max(600_000).default(DEFAULT_IDLE_TIMEOUT_MS),
    /** Requests that wait for their turn; those beyond it end as not run. */
    waitingLimit: z.int().min(0).max(1_000_000).default(DEFAULT_WAITING_LIMIT),
    /** Longest answer that is read into memory. */
    answerLimitBytes: z.int().min(1_024).default(DEFAULT_ANSWER_LIMIT_BYTES),
});

type HttpLimits = z.infer<typeof HttpLimits>;

export { HttpLimits };
