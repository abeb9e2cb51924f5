import type { DataCentreId, HostId, HostIncarnation } from "@arbutusdoor/common";
import * as z from "zod";

/** Value of a coordinator row. It only keeps two hosts from making conflicting decisions; safety rests on compare-and-set. */
const CoordinatorRow = z.object({
    dataCentre: z.string().transform(name => name as DataCentreId),
    host: z.string().transform(name => name as HostId),
    incarnation: z.string().transform(name => name as HostIncarnation),
    /** Grows with each change of the host. */
    term: z.int(),
    /** True if the host has given up the role and another may claim it at once. */
    isReleased: z.boolean(),
    operationId: z.string(),
});

type CoordinatorRow = Readonly<z.infer<typeof CoordinatorRow>>;

export { CoordinatorRow };
