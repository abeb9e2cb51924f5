import * as z from "zod";

/** Body of `POST /v1/diff`. */
const DiffRequest = z.strictObject({ declaration: z.unknown() });

type DiffRequest = z.infer<typeof DiffRequest>;

export { DiffRequest };
