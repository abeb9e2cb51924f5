/** Kinds of faults that a soak brings about beside those of the network, processes, clocks and storage. */
export type SoakKinds = {
    /** Whether servers also say in their answers that they leave or want no requests. */
    readonly hasNotices?: boolean;
    /**
     * Whether single servers are isolated (connections refused, entry lapsed), entries of another writer come into the registry, and hosts are
     * stopped while long requests are at work.
     */
    readonly hasDisruptions?: boolean;
    /**
     * Whether servers also send answers a second time, or have no room for a time, uploads go to keys, too, and callers begin a further head
     * behind a request at work.
     */
    readonly hasSecondAnswers?: boolean;
    /** Whether hosts are stopped, with no other faults, while callers of many habits use them until their processes are gone. */
    readonly hasStops?: boolean;
    /** Whether the store also ends for a while and comes back from a copy that is some seconds old. */
    readonly hasRestores?: boolean;
};
