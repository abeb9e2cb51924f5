/** What a run of the bench is asked for. */
export type BenchOptions = {
    readonly seed: number;
    /** Factor on the simulated time of each run; 1 for the default run. */
    readonly scale: number;
};
