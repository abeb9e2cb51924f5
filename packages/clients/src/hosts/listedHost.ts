import type { DataCentreId, HostId, ServerId } from "@arbutusdoor/common";

/** A host in the platform's list. The list lags behind: a dead host may be listed and a live one missing. */
export type ListedHost = {
    readonly name: HostId | ServerId;
    readonly role: "entryHost" | "backendServer";
    readonly dataCentre: DataCentreId;
    /** IP address and port, for example `127.0.0.1:7001`. */
    readonly address: string;
    readonly state: "live" | "leaving";
};
