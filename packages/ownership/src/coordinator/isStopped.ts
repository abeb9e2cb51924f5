import type { ServiceId } from "@arbutusdoor/common";
import type { FormerHolder } from "../rows/formerHolder.js";
import { getAllGrantors } from "./getAllGrantors.js";
import { getStopProofKey } from "./getStopProofKey.js";
import { isHostAttestedLost } from "./isHostAttestedLost.js";
import type { PlanningContext } from "./planningContext.js";

/**
 * Whether there is a stop proof of a former holder: a takeover has ended its epoch, or the server has acknowledged the fence. For a server
 * that does not check orders, every host that may send to it has reported that it sends nothing more or is attested lost.
 */
export function isStopped(planning: PlanningContext, service: ServiceId, former: FormerHolder): boolean {
    const row = planning.servers[former.server];
    if (!row) {
        return false;
    }
    if (row.epoch > former.epoch) {
        return true;
    }
    const stops = planning.state.coordinator.stopProofs[getStopProofKey(service, former)] ?? [];
    if (row.checksOrders) {
        return stops.length > 0;
    }
    return getAllGrantors(row).every(member =>
        stops.includes(`${member.host}/${member.incarnation}`) || isHostAttestedLost(planning.state, member)
    );
}
