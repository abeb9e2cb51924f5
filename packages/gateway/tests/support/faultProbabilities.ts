/** Odds of each trouble in a step. */
export type FaultProbabilities = {
    readonly lost: number;
    readonly late: number;
    readonly crash: number;
    readonly cut: number;
    /** Another coordinator takes over while the one before goes on renewing. */
    readonly takeover: number;
    readonly move: number;
    /** Another coordinator takes over from one that stops; older ones may go on renewing. */
    readonly handOver?: number;
    /** A server, also one that is cut off, gets several ranges at once. */
    readonly join?: number;
    /** A map is committed under a new fence with no change. */
    readonly bump?: number;
    /** A write gets no answer, and takes effect at once, late or never. */
    readonly lostAnswer?: number;
    /** A write is refused. */
    readonly refusal?: number;
};
