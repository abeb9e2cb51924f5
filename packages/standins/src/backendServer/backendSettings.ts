import * as z from "zod";

const DEFAULT_SLOTS = 4;
const DEFAULT_WAITING_LIMIT = 16;
const DEFAULT_SERVICE_MS = 2;
const DEFAULT_JITTER = 0.5;
const DEFAULT_COLD_FACTOR = 5;
const DEFAULT_JOURNAL_LIMIT = 100_000;
const DEFAULT_LEAVE_NOTICE_MS = 3_000;
const DEFAULT_LEAVE_LIMIT_MS = 15_000;
const DEFAULT_MAX_ANSWER_BYTES = 268_435_456;

/** Settings of the stand-in of a backend server. */
const BackendSettings = z.strictObject({
    server: z.string().min(1),
    /** Name of this run of the server. */
    incarnation: z.string().min(1),
    seed: z.int().default(1),
    /** Whether requests are checked against the slices held, and orders against the grantors. */
    checksOrders: z.boolean().default(true),
    slots: z.int().min(1).default(DEFAULT_SLOTS),
    /** Requests that wait for a slot; those beyond it are refused as not run. */
    waitingLimit: z.int().min(0).default(DEFAULT_WAITING_LIMIT),
    /** Time in ms that a request takes. */
    serviceMs: z.number().min(0).default(DEFAULT_SERVICE_MS),
    /** Share of the service time by which it varies to either side. */
    jitter: z.number().min(0).max(1).default(DEFAULT_JITTER),
    /** How many times longer a request takes during a cold start. */
    coldFactor: z.number().min(1).default(DEFAULT_COLD_FACTOR),
    /** Time in ms of the cold start at the beginning. */
    coldStartMs: z.number().min(0).default(0),
    /** Difference in ms between the server's own clock and the machine's. */
    clockOffsetMs: z.number().default(0),
    journalLimit: z.int().min(1).default(DEFAULT_JOURNAL_LIMIT),
    /** Time in ms that a stopping server goes on taking requests after it has said that it leaves. */
    leaveNoticeMs: z.number().min(0).default(DEFAULT_LEAVE_NOTICE_MS),
    /** Time in ms after which a stopping server no longer waits for its slices to move. */
    leaveLimitMs: z.number().min(0).default(DEFAULT_LEAVE_LIMIT_MS),
    /** Longest answer that can be asked for. */
    maxAnswerBytes: z.int().min(1).default(DEFAULT_MAX_ANSWER_BYTES),
});

type BackendSettings = z.infer<typeof BackendSettings>;

export { BackendSettings };
