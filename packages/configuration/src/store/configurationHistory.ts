import type { Digest, OperationId } from "@arbutusdoor/common";
import * as z from "zod";

const acceptedOperation = z.object({
    operationId: z.string().transform(text => text as OperationId),
    version: z.int().min(1),
    digest: z.string().transform(text => text as Digest),
});

/** Value of the history row: the last accepted operations, newest last, written together with the head row. */
const ConfigurationHistory = z.object({ operations: z.array(acceptedOperation) });

type ConfigurationHistory = z.infer<typeof ConfigurationHistory>;

export { ConfigurationHistory };
