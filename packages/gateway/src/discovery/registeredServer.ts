import type { DataCentreId, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";

/** A backend server as registered by itself. */
export type RegisteredServer = {
    readonly id: ServerId;
    /** Unix time in ms of its start; distinguishes the incarnations of a server id. */
    readonly startedAt: number;
    readonly service: ServiceId;
    /** IP address and port. */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    /** Number of requests that it runs at a time. */
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer it is slow after its start, at the time of registration. */
    readonly warmupLeftMs: Milliseconds;
};
