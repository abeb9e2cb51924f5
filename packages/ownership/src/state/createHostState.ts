import type { OwnershipSettings } from "../settings/ownershipSettings.js";
import type { CoordinatorRole } from "./coordinatorRole.js";
import type { HostIdentity } from "./hostIdentity.js";
import type { HostState } from "./hostState.js";
import type { TableWork } from "./tableWork.js";

const INITIAL_ROLE: CoordinatorRole = {
    isHeld: false,
    row: undefined,
    rowSeenAt: 0,
    checkedAt: 0,
    nextCheckAt: 0,
    nextHeartbeatAt: 0,
    lastContactAt: 0,
    nextPlanAt: 0,
    nextSlicePlanAt: 0,
    reports: {},
    takeovers: {},
    nextTakeoverAt: {},
    stopProofs: {},
    retired: {},
    probes: {},
    attestations: {},
    requestedChanges: [],
    firstServerSeenAt: {},
};

const INITIAL_TABLE_WORK: TableWork = {
    transactions: {},
    uncertain: [],
    reads: {},
    scanned: {},
    nextScanAt: 0,
    failures: 0,
    backoffUntil: 0,
};

/** Creates the state of a host that has just started and knows nothing yet. */
export function createHostState(self: HostIdentity, settings: OwnershipSettings): HostState {
    return {
        self,
        settings,
        configuration: undefined,
        peers: {},
        assignments: {},
        servers: {},
        slices: {},
        grants: {},
        revocations: {},
        supportGivenUntil: {},
        nextSupportRequestAt: 0,
        inFlight: {},
        coordinators: {},
        coordinator: INITIAL_ROLE,
        table: INITIAL_TABLE_WORK,
        counter: 0,
        isResigning: false,
        isPlanDue: true,
        updatedAt: 0,
    };
}
