import * as z from "zod";
import { CallerEntry } from "./callerEntry.js";

/** What the callers of one run saw. */
const CallerLog = z.strictObject({
    entries: z.array(CallerEntry),
    /** Requests that were not sent, because as many as allowed were under way. */
    skipped: z.int().min(0),
});

type CallerLog = z.infer<typeof CallerLog>;

export { CallerLog };
