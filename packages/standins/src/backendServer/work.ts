/** A request that runs. */
export type Work = {
    readonly requestId: string;
    readonly idempotencyKey: string | undefined;
    /** Name of the slice, `service/slice`, of a keyed request. */
    readonly slice: string | undefined;
    readonly generation: number | undefined;
    readonly method: string;
    readonly path: string;
    /** Wall-clock time in ms. */
    readonly started: number;
    /** Ends the work early. */
    readonly cancellation: AbortController;
};
