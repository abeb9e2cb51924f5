import type { Digest } from "@arbutusdoor/common";
import * as z from "zod";

/** A backend server's answer as recorded in an intent. */
const RecordedAnswer = z.strictObject({
    status: z.int().min(100).max(999),
    headers: z.record(z.string(), z.string()),
    /** Base64; absent when the body was too large. */
    body: z.base64().optional(),
    /** SHA-256 of the body in hexadecimal. */
    digest: z.string().transform(digest => digest as Digest),
});

type RecordedAnswer = z.infer<typeof RecordedAnswer>;

export { RecordedAnswer };
