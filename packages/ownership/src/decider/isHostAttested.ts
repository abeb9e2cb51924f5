import type { GrantorList } from "../rows/grantorList.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";

/** Whether an operator attested that a run of an entry host is gone. */
export function isHostAttested(state: HostState, grantor: GrantorList["grantors"][number]): boolean {
    return state.decider.attested[ROW_KEYS.attestedHost(grantor.host, grantor.incarnation)] !== undefined;
}
