import type { ClassId, Milliseconds } from "@arbutusdoor/common";

/** A class of requests in a workload. */
export type ClassProfile = {
    readonly classId: ClassId;
    /** Share of the requests of its service. */
    readonly share: number;
    /** Mean slot time on a healthy server. */
    readonly work: Milliseconds;
    readonly deadline: Milliseconds;
    readonly priority: number;
    readonly isIdempotent: boolean;
    readonly retries: number;
};
