import type { ServiceId, SliceId } from "@arbutusdoor/common";
import type { SliceGeneration } from "@arbutusdoor/platform";

/** A slice of the service `gustboard` at a generation. */
export function newSlice(slice: string, generation: number): SliceGeneration {
    return { service: "gustboard" as ServiceId, slice: slice as SliceId, generation };
}
