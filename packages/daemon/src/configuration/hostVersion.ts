import type { DataCentreId, HostId } from "@arbutusdoor/common";

/** The configuration version that a host last announced as in force. */
export type HostVersion = {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    /** 0 before the first configuration. */
    readonly version: number;
};
