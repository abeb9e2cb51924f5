import type { ServiceId, SliceId } from "@arbutusdoor/common";

/** Name of a slice that is unique over all services. */
export function getSlicePath(service: ServiceId, slice: SliceId): string {
    return `${service}/${slice}`;
}
