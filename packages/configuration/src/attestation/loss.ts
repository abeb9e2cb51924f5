import * as z from "zod";
import { nameSchema } from "../declaration/names.js";

const INCARNATION_PATTERN = /^\S{1,256}$/;

const incarnation = z.string().regex(INCARNATION_PATTERN, "must be 1 to 256 characters without spaces");

/** What an operator attests as lost: an incarnation of a server or of an entry host, or a whole data centre. */
const Loss = z.discriminatedUnion("kind", [
    z.object({ kind: z.literal("server"), server: nameSchema, incarnation }),
    z.object({ kind: z.literal("host"), host: nameSchema, incarnation }),
    z.object({ kind: z.literal("dataCentre"), dataCentre: nameSchema }),
]);

type Loss = z.infer<typeof Loss>;

export { Loss };
