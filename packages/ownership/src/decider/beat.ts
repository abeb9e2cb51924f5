import type { Milliseconds } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";
import { getResponsibilities } from "./getResponsibilities.js";

const RESIGNING: OwnershipMessage = { kind: "hostStatus", isResigning: true };

/**
 * The holder of the decider row says so to its peers and itself, while nobody else can have claimed the row. A host that resigns
 * repeats that instead.
 */
export function beat(state: HostState, now: Milliseconds): Step {
    const { decider, settings } = state;
    const isFresh = now - decider.rowSeenAt < settings.deciderLeaseMs || state.table.failures > 0;
    const isBeating = decider.isHeld && isFresh;
    if (now < decider.nextBeatAt || !(isBeating || state.isResigning)) {
        return { state, effects: [] };
    }
    const timed = { ...state, decider: { ...decider, nextBeatAt: now + settings.beatIntervalMs } };
    const messages = state.isResigning ? [RESIGNING] : getBeats(state);
    const own = state.isResigning ? [] : [state.self.host];
    const peers = Object.values(state.peers).filter(peer => peer.isUp).map(peer => peer.identity.host);
    const sends = [...own, ...peers].flatMap(host =>
        messages.map(message => (current: HostState) => sendTo(current, host, message, now))
    );
    return sequence(timed, ...sends);
}

function getBeats(state: HostState): readonly OwnershipMessage[] {
    const term = state.decider.row?.value.term ?? 0;
    return getResponsibilities(state).map(dataCentre => ({ kind: "deciderHere", dataCentre, term }));
}
