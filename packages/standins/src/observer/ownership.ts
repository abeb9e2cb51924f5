/** An interval of ownership, by the word of the server itself. Times are wall-clock times in ms. */
export type Ownership = {
    /** The run of the server. */
    readonly holder: string;
    readonly slice: string;
    readonly generation: number;
    readonly from: number;
    readonly until: number;
};
