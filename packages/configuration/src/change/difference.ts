import * as z from "zod";

const path = z.array(z.string());
const names = z.array(z.string());

/**
 * One difference between two declarations. The path consists of names instead of indices, such as
 * `["services", "gustboard", "classes", "read", "deadlineMs"]`.
 */
const Difference = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("added"), path, value: z.unknown() }),
    z.object({ kind: z.literal("removed"), path, value: z.unknown() }),
    z.object({ kind: z.literal("changed"), path, from: z.unknown(), to: z.unknown() }),
    z.object({ kind: z.literal("reordered"), path, from: names, to: names }),
]);

type Difference = z.infer<typeof Difference>;

export { Difference };
