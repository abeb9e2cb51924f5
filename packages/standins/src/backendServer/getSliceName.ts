import type { SliceGeneration } from "@arbutusdoor/platform";

/** Name of a slice among those of all services. */
export function getSliceName(slice: SliceGeneration): string {
    return `${slice.service}/${slice.slice}`;
}
