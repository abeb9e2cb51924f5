import * as z from "zod";

/** Intervals and limits of balancing load between the servers of a keyed service. */
const BalanceSettings = z.strictObject({
    /** Time in ms between two load reports of a grantor to the coordinator. */
    reportIntervalMs: z.int().min(50).max(600_000).default(1_000),
    /** Time in ms between two plans of the coordinator. */
    planIntervalMs: z.int().min(50).max(600_000).default(2_000),
    /** Age in ms above which a report is ignored. */
    reportAgeMs: z.int().min(100).max(3_600_000).default(5_000),
    /** Entry hosts whose reports are kept. */
    maxReporters: z.int().min(1).max(10_000).default(1_024),
    /** Past moves that are kept for each service. */
    maxHistory: z.int().min(1).max(1_000_000).default(10_000),
});

type BalanceSettings = z.infer<typeof BalanceSettings>;

export { BalanceSettings };
