import type { DataCentreId, HostId, HostIncarnation, ServerId, ServerIncarnation } from "@arbutusdoor/common";
import { z } from "zod";

/** Value of an attestation row: an operator's word that something is gone for good and runs nothing any more. */
const AttestedRow = z.discriminatedUnion("kind", [
    z.object({
        kind: z.literal("server"),
        server: z.string().transform(name => name as ServerId),
        /** The run that is gone; a later run is not meant. */
        incarnation: z.string().transform(name => name as ServerIncarnation),
        operationId: z.string(),
    }),
    z.object({
        kind: z.literal("host"),
        host: z.string().transform(name => name as HostId),
        incarnation: z.string().transform(name => name as HostIncarnation),
        operationId: z.string(),
    }),
    z.object({
        kind: z.literal("dataCentre"),
        dataCentre: z.string().transform(name => name as DataCentreId),
        operationId: z.string(),
    }),
]);

type AttestedRow = Readonly<z.infer<typeof AttestedRow>>;

export { AttestedRow };
