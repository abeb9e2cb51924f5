/** A range of keys, both ends included. */
export type KeyRange = {
    readonly first: number;
    readonly last: number;
};
