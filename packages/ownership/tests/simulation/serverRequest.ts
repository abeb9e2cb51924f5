/** A keyed request as it reaches a server. */
export type ServerRequest = {
    readonly id: string;
    readonly sentAt: number;
    readonly key: string;
    readonly slice: string;
    readonly generation: number;
    readonly work: number;
};
