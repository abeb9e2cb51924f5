import type { RebalanceSettings } from "../ownership/rebalanceSettings.js";

/** How keys are moved for balance on the platform. Moving keys costs little there; an overloaded server costs much. */
export const REBALANCE: RebalanceSettings = {
    moveLimit: 8,
    tolerance: 0.25,
    minUtilization: 0.1,
    splitShare: 0.1,
    rangeLimit: 3_000,
};
