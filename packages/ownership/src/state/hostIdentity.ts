import type { DataCentreId, HostId, HostIncarnation } from "@arbutusdoor/common";

/** One incarnation of an entry host. */
export type HostIdentity = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    readonly dataCentre: DataCentreId;
    /** IP number and port of its peer links. */
    readonly address: string;
};
