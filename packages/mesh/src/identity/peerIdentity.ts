import type { DataCentreId, HostId, HostIncarnation } from "@arbutusdoor/common";

/** One incarnation of an entry host, as it identifies itself to its peers. */
export type PeerIdentity = {
    readonly host: HostId;
    readonly incarnation: HostIncarnation;
    readonly dataCentre: DataCentreId;
    /** IP address and port at which the host accepts links. */
    readonly address: string;
};
