/** One thing that is wrong with a declaration. */
export type Problem = {
    /** Where, such as `services[0].classes[1].methods`; empty for the whole. */
    readonly path: string;
    /** What is wanted, in one sentence part. */
    readonly message: string;
};
