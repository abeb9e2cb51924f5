import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import { isGrantorOf } from "./isGrantorOf.js";

/** The list under which a grantor acts: the changed one if it is in it. */
export function getOwnList(row: ServerRow, self: HostIdentity): GrantorList {
    return row.change && isGrantorOf(row.change, self) ? row.change : row.list;
}
