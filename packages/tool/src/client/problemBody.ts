import { z } from "zod";

/** The members of a problem that every refusal has. */
const ProblemBody = z.object({
    title: z.string(),
    detail: z.string().optional(),
});

type ProblemBody = z.infer<typeof ProblemBody>;

export { ProblemBody };
