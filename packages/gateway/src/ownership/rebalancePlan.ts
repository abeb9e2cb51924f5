import type { RangeChange } from "./rangeChange.js";

/** Moves of ranges for the balance of load, and what they are for. */
export type RebalancePlan = {
    readonly changes: readonly RangeChange[];
    /** The first of these changes, as many as move a hot key to a server for itself. */
    readonly hotMoves: number;
    /** Number of keys that are too hot to share a server with others. */
    readonly hotKeys: number;
    /** Number of servers that are overloaded. */
    readonly overloaded: number;
    /** Number of servers that have been used more than others for some time. */
    readonly uneven: number;
};
