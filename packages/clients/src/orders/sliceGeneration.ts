import type { ServiceId, SliceId } from "@arbutusdoor/common";

/** A slice at one generation of its ownership. */
export type SliceGeneration = {
    readonly service: ServiceId;
    readonly slice: SliceId;
    /** Grows with each decision about the slice. */
    readonly generation: number;
};
