import type { LeaseManager } from "../coordination/leaseManager.js";
import type { CoordinatorMessage } from "../links/coordinatorMessage.js";
import type { OverloadControl } from "../routing/overloadControl.js";
import type { ClusterState } from "./clusterState.js";

/** Creates the coordinator's heartbeat, which says how current its lease and its tables are. */
export function createHeartbeat(
    lease: LeaseManager,
    hosts: number,
    state: ClusterState,
    overload: OverloadControl,
): CoordinatorMessage {
    const overloaded = overload.listOverloaded();
    return {
        kind: "beat",
        term: lease.term ?? 0,
        storeAgeMs: Math.min(lease.storeContactAge, Number.MAX_SAFE_INTEGER),
        hosts,
        storeTime: state.storeClock.now,
        completeAt: state.getCompleteTimes(),
        asOf: state.getTableVersions(),
        ...(state.era.current > 0 && { era: state.era.current }),
        // Without the field there is no name of it on the link either: a heartbeat goes to every host three times a second.
        ...(overloaded && { overloaded }),
    };
}
