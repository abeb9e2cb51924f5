import type { ServiceId, SliceId } from "@arbutusdoor/common";

/** A slice with the fencing token of one of its ownership decisions. */
export type SliceGeneration = {
    readonly service: ServiceId;
    readonly slice: SliceId;
    /** Fencing token; increases with each decision about the slice. */
    readonly generation: number;
};
