import type { SliceGeneration } from "@arbutusdoor/clients";

/** Name of a slice among those of all services. */
export function getSliceName(slice: SliceGeneration): string {
    return `${slice.service}/${slice.slice}`;
}
