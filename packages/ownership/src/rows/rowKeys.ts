import type { DataCentreId, RowKey, ServerId, ServiceId } from "@arbutusdoor/common";
import { ATTESTATION_PREFIX } from "@arbutusdoor/configuration";

/** Keys and key prefixes of the rows that the kernel reads and writes in the table service. */
export const ROW_KEYS = {
    assignmentPrefix: "assignment/",
    serverPrefix: "server/",
    deciderPrefix: "decider/",
    attestedPrefix: ATTESTATION_PREFIX,
    assignment: (service: ServiceId, shard: number) => `assignment/${service}/${shard}` as RowKey,
    server: (server: ServerId) => `server/${server}` as RowKey,
    decider: (dataCentre: DataCentreId) => `decider/${dataCentre}` as RowKey,
} as const;
