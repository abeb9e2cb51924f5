/** One problem of a declaration. */
export type Problem = {
    /** Path of the faulty part, such as `services[0].classes[1].methods`; empty for the whole declaration. */
    readonly path: string;
    /** What is wrong or required, as part of a sentence. */
    readonly message: string;
};
