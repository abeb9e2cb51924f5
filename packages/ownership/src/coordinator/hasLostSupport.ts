import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { TakeoverAttempt } from "../state/takeoverAttempt.js";

/**
 * Whether a member that did not answer a bar can renew nothing any more: in each list that names it, so many others are barred and have
 * let their promises to it run out that it can't reach the number of promises that the list asks for.
 */
export function hasLostSupport(
    row: ServerRow,
    round: TakeoverAttempt,
    member: GrantorList["grantors"][number],
): boolean {
    const name = getIncarnationName(member);
    return [row.list, row.change].every(list => {
        const names = list?.grantors.map(getIncarnationName) ?? [];
        const deniers = names.filter(other => round.denials[other]?.includes(name));
        return !list || !names.includes(name)
            || (list.promises > 1 && deniers.length >= names.length - list.promises + 1);
    });
}
