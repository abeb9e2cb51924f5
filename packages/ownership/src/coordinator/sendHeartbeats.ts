import type { Milliseconds } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";

const RESIGNING: OwnershipMessage = { kind: "hostStatus", isResigning: true };

/**
 * Announces the coordinator to its peers and itself, as long as no other host can have claimed the coordinator row. A resigning host
 * repeats that it resigns instead.
 */
export function sendHeartbeats(state: HostState, now: Milliseconds): Step {
    const { coordinator, settings } = state;
    const isFresh = now - coordinator.rowSeenAt < settings.deciderLeaseMs || state.table.failures > 0;
    const isAnnouncing = coordinator.isHeld && isFresh;
    if (now < coordinator.nextHeartbeatAt || !(isAnnouncing || state.isResigning)) {
        return { state, effects: [] };
    }
    const timed = {
        ...state,
        coordinator: { ...coordinator, nextHeartbeatAt: now + settings.beatIntervalMs },
    };
    const messages = state.isResigning ? [RESIGNING] : createHeartbeats(state);
    const own = state.isResigning ? [] : [state.self.host];
    const peers = Object.values(state.peers).filter(peer => peer.isUp).map(peer => peer.identity.host);
    const sends = [...own, ...peers].flatMap(host =>
        messages.map(message => (current: HostState) => sendTo(current, host, message, now))
    );
    return sequence(timed, ...sends);
}

function createHeartbeats(state: HostState): readonly OwnershipMessage[] {
    const term = state.coordinator.row?.value.term ?? 0;
    return getCoordinatedDataCentres(state).map(dataCentre => ({ kind: "deciderHere", dataCentre, term }));
}
