import { z } from "zod";

/** Body of `GET /v1/explain`: where a key is and why, as one entry host sees it. */
const KeyExplanation = z.discriminatedUnion("kind", [
    z.looseObject({
        kind: z.literal("keyed"),
        service: z.string(),
        key: z.string(),
        hash: z.int(),
        slice: z.string(),
        /** How the key came to its slice: an operator's route, a slice of its own, or a hash range. */
        origin: z.enum(["route", "hotKey", "range"]),
        state: z.enum(["held", "moving", "unowned"]),
        server: z.string().optional(),
        incarnation: z.string().optional(),
        generation: z.int().optional(),
        dataCentre: z.string().optional(),
        grantors: z.array(z.string()).default([]),
        /** Sentences for people, the most important first. */
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
