import * as z from "zod";

const MAX_ENTRIES = 100;
const MAX_NAME_BYTES = 200;

const name = z.string().max(MAX_NAME_BYTES);
const row = z.object({ table: name, part: name, key: name });

/** A transaction as the platform's store takes it. */
const RowTransaction = z.object({
    "expected-rev": z.array(row.extend({ ver: z.int().min(0) })).max(MAX_ENTRIES),
    "set-keys": z.array(row.extend({ value: z.string() })).max(MAX_ENTRIES),
    remove: z.array(row).max(MAX_ENTRIES),
});

type RowTransaction = z.infer<typeof RowTransaction>;

export { RowTransaction };
