import type { Milliseconds } from "@arbutusdoor/common";
import type { GrantorList } from "../rows/grantorList.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";

/**
 * Whether this host may renew under a grantor list now: it holds as many promises as the list asks for, its own counted.
 * A host that is lost together with the server can then be passed over, once all others have let their promises to it run out.
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
