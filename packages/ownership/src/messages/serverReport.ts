import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";

/** What one grantor sees of a server. */
export type ServerReport = {
    readonly server: ServerId;
    /** Run that the grantor's server row names. */
    readonly incarnation: ServerIncarnation;
    /** Run that answered last, when it is another one. */
    readonly otherIncarnation?: ServerIncarnation;
    /** Newest grantor list that the run of the row acknowledged; 0 when unknown. */
    readonly listVersion: number;
    /** Epoch that the run of the row acknowledged; 0 when unknown. */
    readonly epoch: number;
    readonly isLeaving: boolean;
    /** Whether the grantor stands by a promise to some decider that it renews and sends nothing. */
    readonly isBarred: boolean;
    /** Version of the server's row that the grantor goes by; a bar that stands is on this version or a later one. */
    readonly rowVersion?: number;
    /** Whether the run of the row did not answer for the suspicion time, or nothing listens at its address. */
    readonly isSuspect: boolean;
    /** Time since the run of the row last answered. */
    readonly silence: Milliseconds;
};
