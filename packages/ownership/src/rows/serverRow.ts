import type { DataCentreId, ServerId, ServerIncarnation, ServiceId } from "@arbutusdoor/common";
import * as z from "zod";
import { GrantorList } from "./grantorList.js";

/** Value of a server row: which incarnation of the server holds a lease, under which epoch, and who may renew it. */
const ServerRow = z.object({
    server: z.string().transform(name => name as ServerId),
    service: z.string().transform(name => name as ServiceId),
    dataCentre: z.string().transform(name => name as DataCentreId),
    address: z.string(),
    checksOrders: z.boolean(),
    incarnation: z.string().transform(name => name as ServerIncarnation),
    /** Grows with each takeover; holders of a lower epoch have stopped. */
    epoch: z.int(),
    list: GrantorList,
    /** A new grantor list that the server is not proved to have accepted yet; both lists are in effect until it is. */
    change: GrantorList.optional(),
    /** Attestations that the epoch already takes into account, each as row key and operation id. */
    attestations: z.array(z.string()).readonly(),
    operationId: z.string(),
});

type ServerRow = Readonly<z.infer<typeof ServerRow>>;

export { ServerRow };
