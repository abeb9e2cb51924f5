/** When and how many keys are moved to balance the load. */
export type RebalanceSettings = {
    /** Maximum number of ranges that one plan moves off servers that are overloaded. */
    readonly urgentMoveLimit: number;
    /** Maximum number of ranges that one plan moves since servers have been used unevenly for some time. */
    readonly moveLimit: number;
    /** Share of the mean utilization by which a server may exceed it before keys are moved. */
    readonly tolerance: number;
    /** A server is overloaded when requests wait for this share of their work time. */
    readonly overloadedWait: number;
    /** No keys are moved off a server while requests wait for less than this share of their work time. */
    readonly feltWait: number;
    /** Servers are not filled beyond this wait, as a share of the work time. The difference to the other waits keeps keys from moving to and fro. */
    readonly comfortableWait: number;
    /** A range with more than this share of a server's capacity is split. */
    readonly splitShare: number;
    /** A key with more than this share of a usual server's capacity is placed alone. */
    readonly hotShare: number;
    /** A hot key stays with its owner if that has at least this share of the capacity of the fastest server. */
    readonly stayShare: number;
    /** Mean lifetime in seconds of what the recent loads count; fewer counts mean more noise. */
    readonly loadLifeS: number;
    /** Maximum number of ranges in a map; beyond it no ranges are split. */
    readonly rangeLimit: number;
};
