import type { ServerId } from "@arbutusdoor/common";
import { getReports } from "./getReports.js";
import type { PlanningContext } from "./planningContext.js";

/** Whether a server is to lose its slices: it is not declared any more, is draining, or reports that it is about to stop. */
export function isLeaving(planning: PlanningContext, server: ServerId): boolean {
    const known = planning.leaving.get(server);
    if (known !== undefined) {
        return known;
    }
    const found = checkLeaving(planning, server);
    planning.leaving.set(server, found);
    return found;
}

function checkLeaving(planning: PlanningContext, server: ServerId): boolean {
    const declared = planning.declaration.servers.find(other => other.name === server);
    const row = planning.servers[server];
    if (!declared || declared.isDraining || declared.service !== row?.service) {
        return true;
    }
    return getReports(planning.state, row).some(({ report }) => report.isLeaving);
}
