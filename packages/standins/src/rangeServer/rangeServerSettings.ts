import * as z from "zod";

const DEFAULT_SLOTS = 4;
const DEFAULT_WAITING = 8;
const DEFAULT_SERVICE_MS = 10;
const DEFAULT_JOURNAL_LIMIT = 200_000;
const DEFAULT_HEARTBEAT_MS = 1_000;
const DEFAULT_DRAIN_MS = 2_500;

/** Settings of a stand-in of a platform's backend server. */
const RangeServerSettings = z.strictObject({
    server: z.string().min(1),
    service: z.string().min(1),
    dataCentre: z.string().min(1),
    /** Address of the store's control interface, where the server keeps its entry. */
    store: z.string().min(1),
    /** Address in the server's entry; its own when left out. */
    advertised: z.string().optional(),
    isKeyed: z.boolean().default(false),
    seed: z.int().default(1),
    slots: z.int().min(1).default(DEFAULT_SLOTS),
    waitingLimit: z.int().min(0).default(DEFAULT_WAITING),
    serviceMs: z.number().min(0).default(DEFAULT_SERVICE_MS),
    /** Time in ms between the server's writes of its entry; it lapses after three. */
    heartbeatMs: z.int().min(1).default(DEFAULT_HEARTBEAT_MS),
    /** Time in ms that a leaving server goes on serving after it has said so. */
    drainMs: z.int().min(0).default(DEFAULT_DRAIN_MS),
    journalLimit: z.int().min(1).default(DEFAULT_JOURNAL_LIMIT),
});

type RangeServerSettings = z.infer<typeof RangeServerSettings>;

export { RangeServerSettings };
