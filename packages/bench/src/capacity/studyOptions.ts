/** How a study runs. */
export type StudyOptions = {
    readonly seed: number;
    /** Factor on all sizes; below 1 only to see that the program runs. */
    readonly scale: number;
};
