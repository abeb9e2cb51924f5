import type { DataCentreId, ServerId, ServiceId } from "@arbutusdoor/common";
import { isEligible } from "./isEligible.js";
import type { PlanningContext } from "./planningContext.js";

/** Whether the initial assignment of a service in this data centre can begin: all its servers answer, or the wait for them is over. */
export function isServiceReady(planning: PlanningContext, service: ServiceId): boolean {
    const { state, declaration } = planning;
    const isHere = (dataCentre: string) => planning.homes.includes(dataCentre as DataCentreId);
    const servers = declaration.servers.filter(server =>
        server.service === service && isHere(server.dataCentre) && !server.isDraining
    );
    const since = state.coordinator.firstServerSeenAt[service];
    if (since === undefined || servers.length === 0) {
        return false;
    }
    const isOverdue = state.updatedAt - since >= state.settings.firstAssignmentDelayMs;
    return isOverdue || servers.every(server => isEligible(planning, server.name as ServerId));
}
