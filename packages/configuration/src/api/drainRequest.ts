import type { OperationId } from "@arbutusdoor/common";
import * as z from "zod";

const MAX_OPERATION_ID_LENGTH = 128;

/** Body of `POST /v1/drain`. */
const DrainRequest = z.strictObject({
    server: z.string().min(1),
    /** Version that the operator has seen. */
    base: z.int().min(0),
    operationId: z.string().min(1).max(MAX_OPERATION_ID_LENGTH).transform(text => text as OperationId),
});

type DrainRequest = z.infer<typeof DrainRequest>;

export { DrainRequest };
