import * as z from "zod";

/** How a host chooses among the servers of a pooled service. */
const PoolPickerSettings = z.strictObject({
    /** Name of the picker. */
    picker: z.string().default("leastCost"),
    /** Whether servers that appear faulty are ejected for a while. */
    isEjecting: z.boolean().default(true),
    /** Requests of unknown outcome in a row, beyond twice the pool's median, after which a server is ejected. */
    maxFailures: z.int().min(1).max(1_000).default(3),
    /** Time in ms without any answer, while requests are outstanding, after which a server is ejected. */
    stallMs: z.number().min(1).max(600_000).default(250),
    /** A stall is at least this many times the median latency of the pool. */
    stallFactor: z.number().min(1).max(1_000).default(10),
    /** A server is ejected when its latency is this many times the median of the pool. */
    slowFactor: z.number().min(1).max(1_000).default(5),
    /** Answers of a server before its latency is evaluated. */
    minSamples: z.int().min(1).max(1_000).default(5),
    /** Duration in ms of the first ejection of a server; doubles with each further one in a row. */
    ejectionMs: z.number().min(1).max(600_000).default(500),
    /** Longest time in ms that a server is ejected before a request probes it. */
    maxEjectionMs: z.number().min(1).max(3_600_000).default(8_000),
    /** Largest share of the servers that may be ejected at a time. */
    maxEjectedShare: z.number().min(0).max(1).default(0.5),
    /** First pause in ms of a server that refused a request; doubles with each further refusal in a row. */
    shedPauseMs: z.number().min(0).max(600_000).default(20),
    /** Longest such pause in ms. */
    maxShedPauseMs: z.number().min(0).max(600_000).default(1_000),
    /** Weight of the newest latency in the running mean. */
    newestWeight: z.number().gt(0).max(1).default(0.2),
    /** Requests that a server may have outstanding from this host, for the picker with fixed credit. */
    credit: z.int().min(1).max(10_000).default(2),
    /** Time in ms between evaluations of the pool as a whole. */
    reviewIntervalMs: z.number().min(0).max(60_000).default(50),
    /** Servers whose stats are kept. */
    maxServers: z.int().min(1).max(100_000).default(4_096),
});

type PoolPickerSettings = z.infer<typeof PoolPickerSettings>;

export { PoolPickerSettings };
