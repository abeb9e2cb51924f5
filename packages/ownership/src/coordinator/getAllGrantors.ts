import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";

/** All hosts that may renew a server's lease: those of its grantor list and those of a list change in progress. */
export function getAllGrantors(row: ServerRow): GrantorList["grantors"] {
    const joining = row.change?.grantors ?? [];
    const isKnown = (grantor: GrantorList["grantors"][number]) =>
        row.list.grantors.some(other =>
            other.host === grantor.host && other.incarnation === grantor.incarnation
        );
    return [...row.list.grantors, ...joining.filter(grantor => !isKnown(grantor))];
}
