import { z } from "zod";

/** What an operator attests as lost: one run of a server, or a whole data centre. */
const Loss = z.discriminatedUnion("kind", [
    z.strictObject({
        kind: z.literal("server"),
        server: z.string().min(1).max(256),
        incarnation: z.string().min(1).max(256),
    }),
    z.strictObject({ kind: z.literal("dataCentre"), dataCentre: z.string().min(1).max(256) }),
]);

type Loss = z.infer<typeof Loss>;

export { Loss };
