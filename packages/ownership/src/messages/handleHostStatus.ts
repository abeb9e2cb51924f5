import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { OwnershipMessage } from "./ownershipMessage.js";

/** Records whether a peer is about to stop. */
export function handleHostStatus(
    state: HostState,
    from: HostIdentity,
    message: Extract<OwnershipMessage, { kind: "hostStatus"; }>,
): Step {
    const peer = state.peers[from.host];
    if (peer?.identity.incarnation !== from.incarnation) {
        return { state, effects: [] };
    }
    const peers = { ...state.peers, [from.host]: { ...peer, isResigning: message.isResigning } };
    return { state: { ...state, peers, isPlanDue: true }, effects: [] };
}
