import type { SliceId } from "@arbutusdoor/common";

/** Load of one of the heaviest keys. */
export type KeyLoad = {
    readonly slice: SliceId;
    readonly key: string;
    /** Slots that the key surely keeps busy on average; the error of the sketch is taken off. */
    readonly load: number;
};
