import type { SliceGeneration } from "@arbutusdoor/clients";
import type { ServiceId, SliceId } from "@arbutusdoor/common";

/** A slice of the service `gustboard` at a generation. */
export function newSlice(slice: string, generation: number): SliceGeneration {
    return { service: "gustboard" as ServiceId, slice: slice as SliceId, generation };
}
