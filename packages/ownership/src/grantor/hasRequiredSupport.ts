import type { Milliseconds } from "@arbutusdoor/common";
import type { GrantorList } from "../rows/grantorList.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

/**
 * Whether this host has the support that a grantor list requires to renew, its own included. A host that is lost together with the server
 * then blocks no takeover once all others have let their support of it expire.
 */
export function hasRequiredSupport(
    state: HostState,
    grant: Grant,
    list: GrantorList,
    now: Milliseconds,
): boolean {
    const own = getIncarnationName(state.self);
    const names = list.grantors.map(getIncarnationName).filter(name => name !== own);
    const valid = names.filter(name => (grant.supportUntil[name] ?? 0) > now);
    return valid.length + 1 >= list.promises;
}
