/** When and how many keys are moved to balance the load. */
export type RebalanceSettings = {
    /** Maximum number of ranges that one plan moves. */
    readonly moveLimit: number;
    /** Share of the mean utilization by which a server may exceed it before keys are moved. */
    readonly tolerance: number;
    /** Utilization up to which no keys are moved away from a server. */
    readonly minUtilization: number;
    /** A range with more than this share of a server's capacity is split. */
    readonly splitShare: number;
    /** Maximum number of ranges in a map; beyond it no ranges are split. */
    readonly rangeLimit: number;
};
