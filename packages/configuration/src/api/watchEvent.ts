import * as z from "zod";

/** One line of `GET /v1/watch`: a numbered event of the log catalogue. */
const WatchEvent = z.object({
    /** Wall-clock time in ms. */
    at: z.number(),
    event: z.string(),
    fields: z.record(z.string(), z.union([z.string(), z.number(), z.boolean(), z.undefined()])),
});

type WatchEvent = z.infer<typeof WatchEvent>;

export { WatchEvent };
