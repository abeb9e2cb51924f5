import * as z from "zod";
import { Difference } from "../change/difference.js";

/** Body of the answer to `POST /v1/diff`. */
const DiffAnswer = z.object({
    /** Version in force with which the declaration was compared. */
    version: z.int().min(0),
    differences: z.array(Difference),
});

type DiffAnswer = z.infer<typeof DiffAnswer>;

export { DiffAnswer };
