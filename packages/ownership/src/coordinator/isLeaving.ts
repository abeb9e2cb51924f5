import type { ServerId } from "@arbutusdoor/common";
import { getReports } from "./getReports.js";
import type { PlanningContext } from "./planningContext.js";

/** Whether a server is to be emptied: not declared any more, draining, or about to stop by its own word. */
export function isLeaving(planning: PlanningContext, server: ServerId): boolean {
    const known = planning.leaving.get(server);
    if (known !== undefined) {
        return known;
    }
    const found = findOut(planning, server);
    planning.leaving.set(server, found);
    return found;
}

function findOut(planning: PlanningContext, server: ServerId): boolean {
    const declared = planning.declaration.servers.find(other => other.name === server);
    const row = planning.servers[server];
    if (!declared || declared.isDraining || declared.service !== row?.service) {
        return true;
    }
    return getReports(planning.state, row).some(({ report }) => report.isLeaving);
}
