import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import { isGrantorOf } from "./isGrantorOf.js";

/** The list under which a grantor acts: the new one of a list change if it names the grantor. */
export function getOwnList(row: ServerRow, self: HostIdentity): GrantorList {
    return row.change && isGrantorOf(row.change, self) ? row.change : row.list;
}
