import * as z from "zod";

const MAX_DIGEST_LENGTH = 128;

/**
 * Message between entry hosts about configurations: `inForce` announces the sender's version, `wanted` requests the text
 * of the receiver's version, and `text` delivers it.
 */
const ConfigurationMessage = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("inForce"), version: z.int().min(0) }),
    z.object({ kind: z.literal("wanted") }),
    z.object({
        kind: z.literal("text"),
        version: z.int().min(1),
        digest: z.string().max(MAX_DIGEST_LENGTH),
        body: z.string(),
    }),
]);

type ConfigurationMessage = z.infer<typeof ConfigurationMessage>;

export { ConfigurationMessage };
