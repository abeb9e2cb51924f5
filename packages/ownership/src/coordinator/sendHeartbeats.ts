import type { Milliseconds } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";

const RESIGNING: OwnershipMessage = { kind: "hostStatus", isResigning: true };

/**
 * The holder of the decider row says so to its peers and itself, while nobody else can have claimed the row. A host that resigns
 * repeats that instead.
 */
export function sendHeartbeats(state: HostState, now: Milliseconds): Step {
    const { coordinator: coordinator, settings } = state;
    const isFresh = now - coordinator.rowSeenAt < settings.deciderLeaseMs || state.table.failures > 0;
    const isBeating = coordinator.isHeld && isFresh;
    if (now < coordinator.nextHeartbeatAt || !(isBeating || state.isResigning)) {
        return { state, effects: [] };
    }
    const timed = {
        ...state,
        coordinator: { ...coordinator, nextHeartbeatAt: now + settings.beatIntervalMs },
    };
    const messages = state.isResigning ? [RESIGNING] : getBeats(state);
    const own = state.isResigning ? [] : [state.self.host];
    const peers = Object.values(state.peers).filter(peer => peer.isUp).map(peer => peer.identity.host);
    const sends = [...own, ...peers].flatMap(host =>
        messages.map(message => (current: HostState) => sendTo(current, host, message, now))
    );
    return sequence(timed, ...sends);
}

function getBeats(state: HostState): readonly OwnershipMessage[] {
    const term = state.coordinator.row?.value.term ?? 0;
    return getCoordinatedDataCentres(state).map(dataCentre => ({ kind: "deciderHere", dataCentre, term }));
}
