/** When keys are moved for balance. */
export type RebalanceSettings = {
    /** Most ranges that change hands in one plan. */
    readonly moveLimit: number;
    /** Servers may differ by this share of the mean utilization before keys are moved. */
    readonly tolerance: number;
    /** Utilization below which a server is never relieved. */
    readonly minUtilization: number;
    /** A range with more than this share of a server's capacity is split. */
    readonly splitShare: number;
    /** Most ranges of a map; no more are split then. */
    readonly rangeLimit: number;
};
