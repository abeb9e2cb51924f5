import { z } from "zod";

const MAX_ENTRIES = 4_096;

/** What a host reports to the coordinator. */
const HostReport = z.object({
    kind: z.literal("report"),
    host: z.string(),
    /** Names the run of the host's process. */
    incarnation: z.string(),
    /** Requests of each key since the last report: service, key, requests. */
    keys: z.array(z.tuple([z.string(), z.int(), z.int()])).max(MAX_ENTRIES),
    /** Answers of each server since the last report: id, answers, sum of their durations in ms. */
    servers: z.array(z.tuple([z.string(), z.int(), z.number()])).max(MAX_ENTRIES),
    /** Keys that their owner was seen not to hold: service, key. */
    misdirected: z.array(z.tuple([z.string(), z.int()])).max(MAX_ENTRIES),
});

type HostReport = z.infer<typeof HostReport>;

export { HostReport };
