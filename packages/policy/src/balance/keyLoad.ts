import type { SliceId } from "@arbutusdoor/common";

/** Load of one of the heaviest keys. */
export type KeyLoad = {
    readonly slice: SliceId;
    readonly key: string;
    /** Slots that the key keeps busy on average, at least: the sketch's error bound is subtracted. */
    readonly load: number;
};
