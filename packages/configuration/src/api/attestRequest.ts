import type { OperationId } from "@arbutusdoor/common";
import * as z from "zod";
import { Loss } from "../attestation/loss.js";

const MAX_OPERATION_ID_LENGTH = 128;
const MAX_NAME_LENGTH = 128;

/** Body of `POST /v1/attest-lost`. */
const AttestRequest = z.strictObject({
    loss: Loss,
    /** Who attests the loss. */
    by: z.string().min(1).max(MAX_NAME_LENGTH),
    operationId: z.string().min(1).max(MAX_OPERATION_ID_LENGTH).transform(text => text as OperationId),
});

type AttestRequest = z.infer<typeof AttestRequest>;

export { AttestRequest };
