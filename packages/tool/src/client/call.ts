/** One call on the operators' port. */
export type Call = {
    readonly method: "GET" | "POST";
    /** Path with query. */
    readonly path: string;
    /** JSON body of a POST. */
    readonly body?: object;
};
