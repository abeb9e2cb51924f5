import * as z from "zod";
import { nameSchema } from "./names.js";

const MAX_KEY_LENGTH = 512;
const WELL_FORMED = /^\P{Surrogate}*$/u;

/** Assigns one key of a keyed service to a server. */
const Route = z.strictObject({
    key: z.string().min(1).max(MAX_KEY_LENGTH).regex(WELL_FORMED, "must be well-formed Unicode"),
    server: nameSchema,
});

type Route = z.infer<typeof Route>;

export { Route };
