import { LOAD_HALF_LIFE_MS } from "../ownership/loadHalfLifeMs.js";
import type { RebalanceSettings } from "../ownership/rebalanceSettings.js";

const MS_PER_S = 1_000;

/**
 * How keys are moved for balance on the platform. Each move costs a commit, messages to all hosts and refusals while keys change owner, so
 * that servers whose callers hardly wait keep their keys. An overloaded server costs more.
 */
export const REBALANCE: RebalanceSettings = {
    urgentMoveLimit: 64,
    moveLimit: 8,
    tolerance: 0.25,
    overloadedWait: 1,
    feltWait: 0.4,
    comfortableWait: 0.15,
    splitShare: 0.1,
    hotShare: 0.5,
    stayShare: 0.8,
    loadLifeS: LOAD_HALF_LIFE_MS / Math.LN2 / MS_PER_S,
    rangeLimit: 3_000,
};
