import type { SliceGeneration } from "@arbutusdoor/clients";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

/** Slices that a server is to give up according to the rows, whether or not it has acknowledged that to this host. */
export function getSlicesToFence(state: HostState, grant: Grant, row: ServerRow): readonly SliceGeneration[] {
    const slices = state.slices[row.service]?.byHolder[grant.server] ?? [];
    const fences = new Map<string, SliceGeneration>();
    for (const former of slices.flatMap(slice => slice.former)) {
        const isHere = former.server === grant.server
            && former.incarnation === row.incarnation
            && former.epoch === row.epoch;
        if (isHere) {
            const fence = { service: row.service, slice: former.slice, generation: former.fence };
            fences.set(getSlicePath(row.service, former.slice), fence);
        }
    }
    return [...fences.values()].slice(0, state.settings.slicesPerOrder);
}
