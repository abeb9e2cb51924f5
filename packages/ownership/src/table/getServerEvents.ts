import type { Effect } from "../kernel/effect.js";
import type { ServerRow } from "../rows/serverRow.js";

/** Log events of the changes between two versions of a server's row. */
export function getServerEvents(before: ServerRow | undefined, after: ServerRow): readonly Effect[] {
    const { server, incarnation, epoch } = after;
    const events: Effect[] = [];
    if (before && before.incarnation !== incarnation) {
        events.push({ kind: "log", event: "serverRestarted", fields: { server, incarnation, epoch } });
    }
    if (before?.list.listVersion !== after.list.listVersion) {
        const grantors = after.list.grantors.map(grantor => grantor.host).join(" ");
        const { listVersion } = after.list;
        events.push({ kind: "log", event: "grantorsChanged", fields: { server, listVersion, grantors } });
    }
    return events;
}
