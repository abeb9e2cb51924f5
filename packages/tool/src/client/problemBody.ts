import * as z from "zod";

/** Members of the problem document that the body of a refusal has. */
const ProblemBody = z.object({
    title: z.string(),
    detail: z.string().optional(),
});

type ProblemBody = z.infer<typeof ProblemBody>;

export { ProblemBody };
