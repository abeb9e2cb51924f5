/** Load that a server reports of itself. */
export type ObservedLoad = {
    /** Requests that are running. */
    readonly running: number;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes at the moment, relative to the usual; above 1 is slower. */
    readonly slowness: number;
};
