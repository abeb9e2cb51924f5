import type { DataCentreId, HostId, ServerId } from "@arbutusdoor/common";

/** A host as the platform lists it. The list lags: a dead host may be listed and a live one missing. */
export type ListedHost = {
    readonly name: HostId | ServerId;
    readonly role: "entryHost" | "backendServer";
    readonly dataCentre: DataCentreId;
    /** IP number and port, for example `127.0.0.1:7001`. */
    readonly address: string;
    readonly state: "live" | "leaving";
};
