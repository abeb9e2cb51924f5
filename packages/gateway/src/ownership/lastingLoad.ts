/** Load of servers over a longer time. */
export type LastingLoad = {
    /** Requests a second by name of the holder. */
    readonly loads: ReadonlyMap<string, number>;
    /** Mean time in seconds that a request has counted; fewer counts mean more noise. */
    readonly lifeS: number;
};
