import * as z from "zod";

const DEFAULT_POLL_INTERVAL_MS = 1_000;
const DEFAULT_BACKOFF_MIN_MS = 50;
const DEFAULT_BACKOFF_MAX_MS = 1_000;
const DEFAULT_ATTEMPTS = 5;
const DEFAULT_HISTORY_LENGTH = 64;
const DEFAULT_MAX_PENDING_SUBMISSIONS = 16;

/** Limits and intervals of the configuration manager. */
const ConfigurationSettings = z.strictObject({
    /** Whether this host polls the head row; the others get versions from their peers. */
    isPoller: z.boolean().default(false),
    pollIntervalMs: z.int().min(10).max(60_000).default(DEFAULT_POLL_INTERVAL_MS),
    /** Shortest and longest wait between attempts at the platform's stores. */
    backoffMinMs: z.int().min(1).max(60_000).default(DEFAULT_BACKOFF_MIN_MS),
    backoffMaxMs: z.int().min(1).max(60_000).default(DEFAULT_BACKOFF_MAX_MS),
    /** Maximum number of attempts at one submission or attestation. */
    attempts: z.int().min(1).max(20).default(DEFAULT_ATTEMPTS),
    /** Number of accepted operations that the history row keeps. */
    historyLength: z.int().min(1).max(1_000).default(DEFAULT_HISTORY_LENGTH),
    /** Maximum number of submissions on this host that wait or run at a time. */
    maxPendingSubmissions: z.int().min(1).max(1_000).default(DEFAULT_MAX_PENDING_SUBMISSIONS),
});

type ConfigurationSettings = z.infer<typeof ConfigurationSettings>;

export { ConfigurationSettings };
