/** Parts of a caller's path: `/service/rest` or, for a keyed service, `/service/key/rest`. */
export type CallerPath = {
    readonly service: string;
    /** Decoded key; `undefined` when the path has none. */
    readonly key: string | undefined;
    /** Path after the service and the key; starts with "/". */
    readonly rest: string;
};
