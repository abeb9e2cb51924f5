import type { DataCentreId, ServerId } from "@arbutusdoor/common";
import { isEligible } from "./isEligible.js";
import type { PlanningContext } from "./planningContext.js";

/** Returns the eligible server of a service and data centre with the fewest slices; the first by name among equals. */
export function chooseServer(
    planning: PlanningContext,
    service: string,
    dataCentre: DataCentreId,
    except?: ServerId,
): ServerId | undefined {
    const candidates = planning.declaration.servers
        .filter(server => server.service === service && server.dataCentre === dataCentre)
        .map(server => server.name as ServerId)
        .filter(server => server !== except && isEligible(planning, server))
        .sort();
    const getCount = (server: ServerId) => planning.counts.get(server) ?? 0;
    const fewest = Math.min(...candidates.map(getCount));
    return candidates.find(server => getCount(server) === fewest);
}
