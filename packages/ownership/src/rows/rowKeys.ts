import type { DataCentreId, HostId, RowKey, ServerId, ServiceId } from "@arbutusdoor/common";

/** Keys and key prefixes of the rows that the kernel keeps in the table service. */
export const ROW_KEYS = {
    assignmentPrefix: "assignment/",
    serverPrefix: "server/",
    deciderPrefix: "decider/",
    attestedPrefix: "attested/",
    assignment: (service: ServiceId, shard: number) => `assignment/${service}/${shard}` as RowKey,
    server: (server: ServerId) => `server/${server}` as RowKey,
    decider: (dataCentre: DataCentreId) => `decider/${dataCentre}` as RowKey,
    attestedServer: (server: ServerId) => `attested/server/${server}` as RowKey,
    attestedHost: (host: HostId) => `attested/host/${host}` as RowKey,
    attestedDataCentre: (dataCentre: DataCentreId) => `attested/dataCentre/${dataCentre}` as RowKey,
} as const;
