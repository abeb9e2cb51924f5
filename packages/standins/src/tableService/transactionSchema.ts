import * as z from "zod";

const MAX_WRITES = 1_000;

/** Body of `POST /transaction`. A write without a value deletes its row. */
export const transactionSchema = z.object({
    operationId: z.string().min(1),
    writes: z.array(z.object({
        key: z.string().min(1),
        expectedVersion: z.int().min(0),
        value: z.unknown().optional(),
    })).min(1).max(MAX_WRITES),
});
