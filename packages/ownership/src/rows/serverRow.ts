import type { DataCentreId, ServerId, ServerIncarnation, ServiceId } from "@arbutusdoor/common";
import { z } from "zod";
import { GrantorList } from "./grantorList.js";

/** Value of a server row: which run of the server holds a lease, under which epoch, and who may renew it. */
const ServerRow = z.object({
    server: z.string().transform(name => name as ServerId),
    service: z.string().transform(name => name as ServiceId),
    dataCentre: z.string().transform(name => name as DataCentreId),
    address: z.string(),
    checksOrders: z.boolean(),
    incarnation: z.string().transform(name => name as ServerIncarnation),
    /** Grows with each takeover; holders of a lower epoch are proved stopped. */
    epoch: z.int(),
    list: GrantorList,
    /** A grantor list that the server has not provably accepted yet; both lists count until it has. */
    change: GrantorList.optional(),
    /** Attestations, each as row key and operation id, that the epoch already covers. */
    attestations: z.array(z.string()).readonly(),
    operationId: z.string(),
});

type ServerRow = Readonly<z.infer<typeof ServerRow>>;

export { ServerRow };
