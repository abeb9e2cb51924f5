import type { ServerRow } from "../rows/serverRow.js";
import type { Slice } from "../rows/slice.js";
import type { HostState } from "../state/hostState.js";

/** Whether a server owns or may still hold any slice under its present epoch. */
export function mayHoldSlices(state: HostState, row: ServerRow): boolean {
    const slices = state.slices[row.service]?.byHolder[row.server] ?? [];
    const isHolder = (holder: Slice["owner"]) => holder?.server === row.server && holder.epoch === row.epoch;
    return slices.some(slice => isHolder(slice.owner) || slice.former.some(isHolder));
}
