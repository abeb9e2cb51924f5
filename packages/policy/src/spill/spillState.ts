/** Which share of a route's requests leaves its data centre, for logs. */
export type SpillState = {
    /** Share of the requests that leave while no local server is expected to answer in time. */
    readonly share: number;
    /** Measured share of the requests that local servers refuse or answer beyond the target latency. */
    readonly shortage: number;
};
