import * as z from "zod";

const ownedSchema = z.object({
    kind: z.literal("owned"),
    slice: z.string(),
    generation: z.int(),
    from: z.number(),
    until: z.number(),
});

const runSchema = z.object({
    kind: z.literal("run"),
    requestId: z.string(),
    idempotencyKey: z.string().optional(),
    slice: z.string().optional(),
    generation: z.int().optional(),
    method: z.string(),
    path: z.string(),
    started: z.number(),
    ended: z.number().optional(),
    result: z.enum(["running", "completed", "cancelled"]),
});

const arrivedSchema = z.object({ kind: z.literal("arrived"), time: z.number(), requestId: z.string() });

const noticeSchema = z.object({
    kind: z.literal("notice"),
    time: z.number(),
    requestId: z.string(),
    isLeaving: z.boolean(),
    pauseMs: z.number(),
});

const otherSchema = z.object({ kind: z.enum(["refused", "orderRefused"]) });

/** What the observer reads of a backend server's journal. */
const ServerJournal = z.object({
    kind: z.literal("backendServer"),
    server: z.string(),
    incarnation: z.string(),
    /** Entries that were lost because the journal is bounded. */
    dropped: z.int(),
    entries: z.array(
        z.discriminatedUnion("kind", [ownedSchema, runSchema, arrivedSchema, noticeSchema, otherSchema]),
    ),
});

type ServerJournal = z.infer<typeof ServerJournal>;

export { ServerJournal };
