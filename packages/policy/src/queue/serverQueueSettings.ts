import * as z from "zod";

/** Limits and estimates of a server's queue. */
const ServerQueueSettings = z.strictObject({
    /** Jobs that may wait at a time. */
    maxWaiting: z.int().min(0).max(100_000).default(256),
    /** Service time in ms that is assumed for a class before its first job has ended. */
    initialServiceMs: z.number().min(0).max(3_600_000).default(10),
    /** Weight of the newest service time in the running mean. */
    newestWeight: z.number().gt(0).max(1).default(0.1),
    /** Mean deviations above the mean service time for which a job that waited must have time before its deadline. */
    startDeviations: z.number().min(0).max(100).default(3),
    /** Largest share of the time until its deadline that a job may be expected to wait. */
    maxWaitShare: z.number().gt(0).max(1).default(0.5),
    /** Classes with service times of their own; further ones share one mean. */
    maxClasses: z.int().min(1).max(10_000).default(64),
});

type ServerQueueSettings = z.infer<typeof ServerQueueSettings>;

export { ServerQueueSettings };
