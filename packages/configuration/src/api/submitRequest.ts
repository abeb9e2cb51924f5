import type { OperationId } from "@arbutusdoor/common";
import * as z from "zod";

const MAX_OPERATION_ID_LENGTH = 128;

/** Body of `POST /v1/configuration`. */
const SubmitRequest = z.strictObject({
    /** Version that the declaration is based on; 0 for the first. */
    base: z.int().min(0),
    operationId: z.string().min(1).max(MAX_OPERATION_ID_LENGTH).transform(text => text as OperationId),
    declaration: z.unknown(),
});

type SubmitRequest = z.infer<typeof SubmitRequest>;

export { SubmitRequest };
