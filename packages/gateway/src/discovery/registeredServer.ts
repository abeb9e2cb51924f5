import type { DataCentreId, Milliseconds, ServerId, ServiceId } from "@arbutusdoor/common";

/** A backend server as it registered itself. */
export type RegisteredServer = {
    readonly id: ServerId;
    /** Unix time in ms of its start: tells the lives of a server that keeps its id apart. */
    readonly startedAt: number;
    readonly service: ServiceId;
    /** IP number and port. */
    readonly address: string;
    readonly dataCentre: DataCentreId;
    /** Requests that it runs at a time. */
    readonly slots: number;
    readonly isDraining: boolean;
    /** How much longer it is slow after its start, at the time of registration. */
    readonly warmupLeftMs: Milliseconds;
};
