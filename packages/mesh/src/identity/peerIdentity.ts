import type { DataCentreId, HostId, HostIncarnation } from "@arbutusdoor/common";

/** One run of an entry host, as it names itself to its peers. */
export type PeerIdentity = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    readonly dataCentre: DataCentreId;
    /** IP number and port at which the host takes links. */
    readonly address: string;
};
