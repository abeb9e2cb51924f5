import * as z from "zod";

/** A row that the operator or a server keeps in the store, as the control interface takes it. */
const ForeignRow = z.strictObject({
    table: z.string(),
    key: z.string(),
    /** Text of the row; left out to drop the row. */
    value: z.string().optional(),
    /** Time in ms after which the row is dropped unless it is written again. */
    lifetimeMs: z.int().min(1).optional(),
});

type ForeignRow = z.infer<typeof ForeignRow>;

export { ForeignRow };
