import * as z from "zod";
import { KnownVersions } from "./knownVersions.js";

const MAX_ENTRIES = 4_096;
const MAX_WORK_TIMES = 8;

/** A host's report to the coordinator. */
const HostReport = z.object({
    kind: z.literal("report"),
    host: z.string(),
    /** Incarnation of the host. */
    incarnation: z.string(),
    /** Term of the coordinator that the host follows; it sends no order of an earlier term any more. Absent in reports of earlier versions. */
    followedTerm: z.int().optional(),
    /** Newest era of the store that the host knows of; absent in the first one and in reports of earlier versions. */
    era: z.int().min(0).optional(),
    /** What the host knows, in its first report on a link. Absent in reports of earlier versions, and when it wants everything. */
    known: KnownVersions.optional(),
    /** Requests for each key since the last report: service, key, number of requests. */
    keys: z.array(z.tuple([z.string(), z.int(), z.int()])).max(MAX_ENTRIES),
    /** Answers of each server since the last report: id, number of answers, sum of their durations in ms. */
    servers: z.array(z.tuple([z.string(), z.int(), z.number()])).max(MAX_ENTRIES),
    /**
     * Work times of some of these answers, in ms, without the time in the server's queue where the server reports its load. Absent in reports of
     * earlier versions; a server is absent where they would be its answer time once more.
     */
    workTimes: z.array(z.tuple([z.string(), z.array(z.number()).max(MAX_WORK_TIMES)])).max(MAX_ENTRIES)
        .optional(),
    /** Keys for which their owner refused a request because it does not hold them: service, key. */
    misdirected: z.array(z.tuple([z.string(), z.int()])).max(MAX_ENTRIES),
    /** Servers that said in their answers that they are leaving: id, time of their start. Absent in reports of earlier versions. */
    leaving: z.array(z.tuple([z.string(), z.number()])).max(MAX_ENTRIES).optional(),
    /** Servers that have shed requests since the last report. Absent when there are none. */
    sheds: z.array(z.string()).max(MAX_ENTRIES).optional(),
});

type HostReport = z.infer<typeof HostReport>;

export { HostReport };
