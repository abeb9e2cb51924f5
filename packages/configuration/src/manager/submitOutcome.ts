import * as z from "zod";
import { Difference } from "../change/difference.js";

const problems = z.array(z.object({ path: z.string(), message: z.string() }));

/**
 * How a submission ended: `accepted` as that version (also for a repeat of its operation id);
 * `conflict` (not accepted: the version in force is not the one it was based on);
 * `invalid` (not accepted: the declaration has problems); `notRun` (not accepted, may be retried);
 * `unknown` (it may have been accepted, or may be later; repeat it with the same operation id to find out).
 */
const SubmitOutcome = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("accepted"), version: z.int() }),
    z.object({
        kind: z.literal("conflict"),
        currentVersion: z.int(),
        /** Differences from the version in force to the submitted declaration; absent when the former cannot be read. */
        differences: z.array(Difference).optional(),
    }),
    z.object({ kind: z.literal("invalid"), problems }),
    z.object({ kind: z.literal("notRun"), reason: z.string() }),
    z.object({ kind: z.literal("unknown"), reason: z.string() }),
]);

type SubmitOutcome = z.infer<typeof SubmitOutcome>;

export { SubmitOutcome };
