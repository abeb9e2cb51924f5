import * as z from "zod";

/** What a host knows when it connects to the coordinator, which sends it only the rest. */
const KnownVersions = z.object({
    /** Version of the store up to which the host knows each table; -1 where it knows nothing. */
    tables: z.object({ configuration: z.int(), servers: z.int() }),
    /** Version of the row of each service's key map. */
    keys: z.record(z.string(), z.int()),
    /** Era of the store to which the versions belong; absent in the first one and in reports of earlier versions. */
    era: z.int().min(0).optional(),
});

type KnownVersions = z.infer<typeof KnownVersions>;

export { KnownVersions };
