import type { HostId, Milliseconds } from "@arbutusdoor/common";
import type { OwnershipMessage } from "../messages/ownershipMessage.js";
import type { HostState } from "../state/hostState.js";
import { actionRegistry } from "./actionRegistry.js";
import type { Step } from "./step.js";

/** Sends a message to a host; one to this host itself is handled at once. */
export function sendTo(state: HostState, to: HostId, message: OwnershipMessage, now: Milliseconds): Step {
    if (to !== state.self.host) {
        return { state, effects: [{ kind: "sendPeer", to, message }] };
    }
    const action = actionRegistry.get("peerMessage")!;
    return action.perform(state, { kind: "peerMessage", from: state.self, message }, now);
}
