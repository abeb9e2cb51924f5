import { ROW_KEYS } from "../rows/rowKeys.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

/** Whether this host has read the assignments from the table since it became grantor; until then it grants no slice. */
export function isGrantReady(state: HostState, grant: Grant): boolean {
    const count = state.table.scanned[ROW_KEYS.assignmentPrefix];
    return count !== undefined && count > grant.since;
}
