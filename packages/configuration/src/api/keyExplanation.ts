import * as z from "zod";

/** Body of `GET /v1/explain`: where a key is and why, as seen by one entry host. */
const KeyExplanation = z.discriminatedUnion("kind", [
    z.looseObject({
        kind: z.literal("keyed"),
        service: z.string(),
        key: z.string(),
        hash: z.int(),
        slice: z.string(),
        /** Why the key belongs to its slice: an operator's route, a slice for this key alone, or a hash range. */
        origin: z.enum(["route", "hotKey", "range"]),
        state: z.enum(["held", "moving", "unowned"]),
        server: z.string().optional(),
        incarnation: z.string().optional(),
        generation: z.int().optional(),
        dataCentre: z.string().optional(),
        grantors: z.array(z.string()).default([]),
        /** Sentences for human readers, the most important first. */
        reasons: z.array(z.string()),
    }),
    z.looseObject({
        kind: z.literal("pooled"),
        service: z.string(),
        servers: z.array(z.string()),
        reasons: z.array(z.string()),
    }),
    z.object({ kind: z.literal("unknownService") }),
    z.object({ kind: z.literal("unavailable"), reason: z.string() }),
]);

type KeyExplanation = z.infer<typeof KeyExplanation>;

export { KeyExplanation };
