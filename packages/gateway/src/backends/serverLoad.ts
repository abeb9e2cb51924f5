/** Load of a backend server as it reports it in an answer. */
export type ServerLoad = {
    /** Requests that are running. */
    readonly running: number;
    /** Requests that wait for a slot. */
    readonly waiting: number;
    readonly slots: number;
    /** How long work takes on the server's machine at the moment, relative to the usual; above 1 is slower. Changes many times a second. */
    readonly slowness: number;
};
