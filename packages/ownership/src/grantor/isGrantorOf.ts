import type { GrantorList } from "../rows/grantorList.js";
import type { HostIdentity } from "../state/hostIdentity.js";

/** Whether a grantor list names an incarnation of a host. */
export function isGrantorOf(list: GrantorList | undefined, identity: HostIdentity): boolean {
    const isSame = (other: GrantorList["grantors"][number]) =>
        other.host === identity.host && other.incarnation === identity.incarnation;
    return list?.grantors.some(isSame) ?? false;
}
