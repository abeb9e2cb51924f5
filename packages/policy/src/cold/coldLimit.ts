/** What a cold server tolerates, over all hosts together. */
export type ColdLimit = {
    /** Requests a second that it tolerates for long. */
    readonly requestsPerS: number;
    /** Most requests that it may get in any second. */
    readonly perSecond: number;
};
