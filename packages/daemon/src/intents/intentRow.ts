import type { Digest, OperationId, RequestId } from "@arbutusdoor/common";
import * as z from "zod";
import { RecordedAnswer } from "./recordedAnswer.js";

const rowFields = {
    format: z.literal(1),
    /** The write that stored this row. */
    operationId: z.string().transform(id => id as OperationId),
    /** The request that is running, has run or may have run. */
    requestId: z.string().transform(id => id as RequestId),
    /** Digest of method and path. */
    target: z.string().transform(digest => digest as Digest),
    /** Digest of the request's body, if known. */
    body: z.string().transform(digest => digest as Digest).optional(),
    /** Wall-clock time by which the request's answer was due. */
    deadlineAt: z.number(),
    /** Wall-clock time after which the row may be deleted. */
    expiresAt: z.number(),
};

/**
 * Row `intent/<service>/<hash>` in one of four states: `begun` (the request may be sent or was sent), `free` (it did not
 * run; another request may use the intent), `answered`, or `unknown` (it may have run).
 */
const IntentRow = z.discriminatedUnion("state", [
    z.strictObject({ ...rowFields, state: z.literal("begun") }),
    z.strictObject({ ...rowFields, state: z.literal("free") }),
    z.strictObject({ ...rowFields, state: z.literal("unknown") }),
    z.strictObject({ ...rowFields, state: z.literal("answered"), answer: RecordedAnswer }),
]);

type IntentRow = z.infer<typeof IntentRow>;

export { IntentRow };
