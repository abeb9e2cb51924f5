/** Probability of each fault in a step. */
export type FaultProbabilities = {
    readonly lost: number;
    readonly late: number;
    readonly crash: number;
    readonly cut: number;
    /** Another coordinator takes over while the earlier one goes on renewing grants. */
    readonly takeover: number;
    readonly move: number;
    /** Another coordinator takes over from one that stops; older ones may go on renewing grants. */
    readonly handOver?: number;
    /** A server, possibly a partitioned one, gets several ranges at once. */
    readonly join?: number;
    /** A map is committed under a new fencing token without changes. */
    readonly bump?: number;
    /** A write gets no answer, and takes effect at once, late or never. */
    readonly lostAnswer?: number;
    /** A second answer to another grant is taken for that to a grant. */
    readonly grantAnswer?: number;
    /** A second answer to another release is taken for that to a release. */
    readonly releaseAnswer?: number;
    /** The store goes back to a copy some seconds old; the coordinator goes on, or another one takes over from one that does not notice. */
    readonly restore?: number;
    /** Another writer writes the entry of a server that is up: a newer start or the same one, at another server's address. */
    readonly foreignEntry?: number;
    /** A write is refused. */
    readonly refusal?: number;
};
