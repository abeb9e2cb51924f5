import * as z from "zod";

const KIBIBYTE = 1_024;
const HOUR_MS = 3_600_000;

/** Limits and times of intents, which keep once-only work from running twice. */
const IntentSettings = z.strictObject({
    /** Maximum number of rows written in one transaction. */
    batchSize: z.int().min(1).max(1_000).default(64),
    /** Longest time in ms that a write waits for others to share its transaction. */
    batchWaitMs: z.int().min(0).max(1_000).default(2),
    /** Maximum number of transactions under way. */
    maxTransactions: z.int().min(1).max(64).default(4),
    /** Maximum number of writes that wait for a transaction. */
    maxQueued: z.int().min(1).max(1_048_576).default(4_096),
    /** Maximum number of attempts at a write that conflicts or whose answer is lost. */
    attempts: z.int().min(1).max(20).default(4),
    /** Time in ms after its deadline for which an intent still counts as in progress. */
    marginMs: z.int().min(0).max(600_000).default(5_000),
    /** Longest time in ms for which recording the outcome of an intent is retried. */
    settleTimeoutMs: z.int().min(0).max(HOUR_MS).default(30_000),
    settleRetryMinMs: z.int().min(1).max(60_000).default(50),
    settleRetryMaxMs: z.int().min(1).max(60_000).default(2_000),
    /** Maximum number of intents whose outcome is waiting to be recorded again. */
    maxSettling: z.int().min(1).max(1_048_576).default(1_024),
    /** Longest time in ms that an answer to a caller waits to be recorded. */
    recordWaitMs: z.int().min(0).max(60_000).default(200),
    /** Largest answer body in bytes that is recorded whole. */
    answerLimitBytes: z.int().min(0).max(256 * KIBIBYTE).default(16 * KIBIBYTE),
    /** Time in ms after its deadline for which an intent is kept. */
    retentionMs: z.int().min(60_000).max(8_760 * HOUR_MS).default(24 * HOUR_MS),
    /** Time in ms between two parts of the sweep for expired intents. */
    sweepIntervalMs: z.int().min(10).max(HOUR_MS).default(1_000),
    /** Maximum number of rows that a part of the sweep deletes. */
    sweepBatch: z.int().min(1).max(1_000).default(64),
});

type IntentSettings = z.infer<typeof IntentSettings>;

export { IntentSettings };
