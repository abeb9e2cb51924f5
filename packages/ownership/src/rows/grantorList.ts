import type { HostId, HostIncarnation } from "@arbutusdoor/common";
import * as z from "zod";

/** Entry hosts that may renew a server's lease, under a version that only grows. */
const GrantorList = z.object({
    listVersion: z.int(),
    /** Number of grantors, itself included, whose support a grantor needs to renew; with 1 it needs no other. */
    promises: z.int(),
    grantors: z.array(z.object({
        host: z.string().transform(name => name as HostId),
        incarnation: z.string().transform(name => name as HostIncarnation),
    })).readonly(),
});

type GrantorList = Readonly<z.infer<typeof GrantorList>>;

export { GrantorList };
