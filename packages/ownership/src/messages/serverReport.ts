import type { Milliseconds, ServerId, ServerIncarnation } from "@arbutusdoor/common";

/** One grantor's view of a server. */
export type ServerReport = {
    readonly server: ServerId;
    /** Incarnation in the grantor's server row. */
    readonly incarnation: ServerIncarnation;
    /** Incarnation that answered last, if it is another one. */
    readonly otherIncarnation?: ServerIncarnation;
    /** Newest grantor list that the row's incarnation has acknowledged; 0 when unknown. */
    readonly listVersion: number;
    /** Epoch that the row's incarnation has acknowledged; 0 when unknown. */
    readonly epoch: number;
    readonly isLeaving: boolean;
    /** Whether the grantor has confirmed a revocation that is in force. */
    readonly isBarred: boolean;
    /** Version of the grantor's server row; a revocation in force is on this version or a later one. */
    readonly rowVersion?: number;
    /**
     * Whether the row's incarnation has not answered for the suspicion time, nothing listens at its address, or another incarnation answers
     * there.
     */
    readonly isSuspect: boolean;
    /** Time since the row's incarnation last answered. */
    readonly silence: Milliseconds;
};
