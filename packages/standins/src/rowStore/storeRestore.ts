import * as z from "zod";

/** An order to go back to an older copy, as the control interface takes it. */
const StoreRestore = z.strictObject({
    /** Age of the copy in ms. */
    ageMs: z.int().min(0).max(60_000),
});

type StoreRestore = z.infer<typeof StoreRestore>;

export { StoreRestore };
