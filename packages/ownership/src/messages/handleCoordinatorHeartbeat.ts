import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Records the coordinator of a data centre. A new coordinator gets all reports at once. */
export function handleCoordinatorHeartbeat(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "deciderHere"; }>,
    now: Milliseconds,
): Step {
    const { dataCentre, term } = message;
    const known = state.coordinators[dataCentre];
    if (known && known.term > term) {
        return { state, effects: [] };
    }
    const isOwn = dataCentre === state.self.dataCentre;
    const isNew = known?.identity.incarnation !== from.incarnation;
    const coordinators = { ...state.coordinators, [dataCentre]: { identity: from, term, receivedAt: now } };
    const coordinator = isOwn ? { ...state.coordinator, lastContactAt: now } : state.coordinator;
    const next = { ...state, coordinators, coordinator };
    return { state: isNew ? reportAll(next, now) : next, effects: [] };
}

function reportAll(state: HostState, now: Milliseconds): HostState {
    const grants = Object.fromEntries(
        Object.entries(state.grants).map(([server, grant]) => [server, { ...grant, nextReportAt: now }]),
    );
    return { ...state, grants };
}
