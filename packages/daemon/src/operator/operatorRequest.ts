/** A call on the operators' port, with its token already checked. */
export type OperatorRequest = {
    readonly query: URLSearchParams;
    /** Parsed JSON of the body; `undefined` when there is none. */
    readonly body: unknown;
};
