/** One call to the operators' port of a host. */
export type Call = {
    readonly method: "GET" | "POST";
    /** Path with query. */
    readonly path: string;
    /** JSON body of a POST. */
    readonly body?: object;
};
