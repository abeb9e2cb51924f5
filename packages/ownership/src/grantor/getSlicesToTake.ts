import type { SliceGeneration } from "@arbutusdoor/clients";
import { getSlicePath } from "../lookups/getSlicePath.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Slice } from "../rows/slice.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

/** Slices that a server is to hold according to the rows and has not reported as taken yet. Only slices without former holders. */
export function getSlicesToTake(state: HostState, grant: Grant, row: ServerRow): readonly SliceGeneration[] {
    const index = state.slices[row.service];
    if (!index) {
        return [];
    }
    const isToTake = (slice: Slice) =>
        slice.owner?.server === row.server
        && slice.owner.epoch === row.epoch
        && slice.owner.incarnation === row.incarnation
        && slice.former.length === 0
        && grant.taken[getSlicePath(row.service, slice.slice)] !== slice.generation;
    return (index.byHolder[row.server] ?? [])
        .filter(isToTake)
        .slice(0, state.settings.slicesPerOrder)
        .map(({ slice, generation }) => ({ service: row.service, slice, generation }));
}
