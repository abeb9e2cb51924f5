import * as z from "zod";

const DEFAULT_TIMEOUT_MS = 1_000;
const DEFAULT_REQUESTS_PER_SECOND = 200;
const DEFAULT_CONCURRENCY = 16;
const DEFAULT_IDLE_TIMEOUT_MS = 4_000;
const DEFAULT_WAITING_LIMIT = 1_024;
const DEFAULT_ANSWER_LIMIT_BYTES = 67_108_864;

/** Limits of the requests that one adapter sends to an outside system. */
const HttpLimits = z.strictObject({
    /** Time in ms from the call to the complete answer, including the wait in the queue. */
    timeoutMs: z.int().min(1).max(600_000).default(DEFAULT_TIMEOUT_MS),
    /** Most requests started per second. */
    requestsPerSecond: z.int().min(1).max(1_000_000).default(DEFAULT_REQUESTS_PER_SECOND),
    /** Most concurrent requests; as many connections are kept. */
    concurrency: z.int().min(1).max(10_000).default(DEFAULT_CONCURRENCY),
    /** Time in ms that an unused connection is kept; must be shorter than the other side keeps it. */
    idleTimeoutMs: z.int().min(1).max(600_000).default(DEFAULT_IDLE_TIMEOUT_MS),
    /** Most requests that wait in the queue; further ones end as not run. */
    waitingLimit: z.int().min(0).max(1_000_000).default(DEFAULT_WAITING_LIMIT),
    /** Longest answer in bytes that is read into memory. */
    answerLimitBytes: z.int().min(1_024).default(DEFAULT_ANSWER_LIMIT_BYTES),
});

type HttpLimits = z.infer<typeof HttpLimits>;

export { HttpLimits };
