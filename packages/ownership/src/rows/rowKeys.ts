import type {
    DataCentreId,
    HostId,
    HostIncarnation,
    RowKey,
    ServerId,
    ServerIncarnation,
    ServiceId,
} from "@arbutusdoor/common";

/** Keys and key prefixes of the rows that the kernel keeps in the table service. */
export const ROW_KEYS = {
    assignmentPrefix: "assignment/",
    serverPrefix: "server/",
    deciderPrefix: "decider/",
    attestedPrefix: "attested/",
    assignment: (service: ServiceId, shard: number) => `assignment/${service}/${shard}` as RowKey,
    server: (server: ServerId) => `server/${server}` as RowKey,
    decider: (dataCentre: DataCentreId) => `decider/${dataCentre}` as RowKey,
    attestedServer: (server: ServerId, incarnation: ServerIncarnation) =>
        `attested/server/${server}/${incarnation}` as RowKey,
    attestedHost: (host: HostId, incarnation: HostIncarnation) =>
        `attested/host/${host}/${incarnation}` as RowKey,
    attestedDataCentre: (dataCentre: DataCentreId) => `attested/dataCentre/${dataCentre}` as RowKey,
} as const;
