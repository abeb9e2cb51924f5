import * as z from "zod";
import { Delivery } from "./delivery.js";

/** One attempt of a caller, as the caller saw it. Times are wall-clock times in ms. */
const CallerEntry = z.strictObject({
    /** Name of the request, in its path and unlike that of any other; repeats of a request share it. */
    name: z.string().min(1),
    attempt: z.int().min(1),
    kind: z.enum(["read", "once", "upload"]),
    path: z.string().min(1),
    idempotencyKey: z.string().optional(),
    entryHost: z.string(),
    sentAt: z.number(),
    endedAt: z.number(),
    /** `none`: no whole head arrived; `broken`: the answer's body broke off. Both say nothing about what ran. */
    outcome: z.enum(["answered", "notRun", "unknown", "none", "broken"]),
    status: z.int(),
    reason: z.string().optional(),
    requestId: z.string().optional(),
    /** Whether an answer that arrived whole is the one to this request, and about the bytes that were sent. */
    isOwn: z.boolean(),
    /** How the request went out, when the caller has a connection of its own. */
    delivery: Delivery.optional(),
});

type CallerEntry = z.infer<typeof CallerEntry>;

export { CallerEntry };
