import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { TakeoverAttempt } from "../state/takeoverAttempt.js";

/**
 * Whether a grantor that has not confirmed a revocation can no longer renew: in each list that names it, so many others have confirmed and
 * let their support of it expire that it cannot get the support that the list requires.
 */
export function hasLostSupport(
    row: ServerRow,
    attempt: TakeoverAttempt,
    grantor: GrantorList["grantors"][number],
): boolean {
    const name = getIncarnationName(grantor);
    return [row.list, row.change].every(list => {
        const names = list?.grantors.map(getIncarnationName) ?? [];
        const withoutSupport = names.filter(other => attempt.denials[other]?.includes(name));
        return !list || !names.includes(name)
            || (list.promises > 1 && withoutSupport.length >= names.length - list.promises + 1);
    });
}
