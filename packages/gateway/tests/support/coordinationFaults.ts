/** Probability of each fault in a step, if it isn't stated otherwise. */
export type CoordinationFaults = {
    /** A host loses the store for a while. */
    readonly storeCut: number;
    /** A host is stopped or crashes, and restarts. */
    readonly restart: number;
    /** A server is partitioned for a while, from one host or from all. */
    readonly serverCut: number;
    /** A server ends, and another one starts. */
    readonly end: number;
    /** A server's entry is missing for a while. */
    readonly missing: number;
    /** The answer to the next write of a map is lost. */
    readonly lostAnswer: number;
    /** A server is cut off from all hosts, which find their connections refused, and from the store, so that its entry lapses. */
    readonly isolation?: number;
    /** The store is unavailable for a while and comes back from a copy that is some seconds old. */
    readonly restore?: number;
    /** Hosts that coordinate are stopped, cut off or killed one shortly after the other; some servers are partitioned meanwhile. */
    readonly chain?: number;
    /** An order gets no answer and is carried out seconds later; probability for each order. */
    readonly lateOrder?: number;
    /** The next write of a map or of the lease gets no answer and takes effect seconds later, if its condition still holds. */
    readonly lateWrite?: number;
    /** A server starts again under its id, at the same address or another; its entry follows later, and an old one may come back. */
    readonly serverRestart?: number;
    /** A host is partitioned from servers and killed before it gives up the orders to them, which arrive after the partition. */
    readonly orphan?: number;
    /** A host's process stands still for up to a second. */
    readonly slow?: number;
    /** A host's process stands still for many seconds. */
    readonly freeze?: number;
    /** Keys become busy for a while, so that they move between servers that are up. */
    readonly burst?: number;
};
