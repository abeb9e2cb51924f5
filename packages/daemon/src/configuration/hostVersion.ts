import type { DataCentreId, HostId } from "@arbutusdoor/common";

/** Version of the configuration that a host last said it has in force. */
export type HostVersion = {
    readonly host: HostId;
    readonly dataCentre: DataCentreId;
    /** 0 before the first configuration. */
    readonly version: number;
};
