import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** A link to a peer is down. This only proves that the peer can't be reached from here. */
export class PeerDownAction extends Action<"peerDown"> {
    readonly name = "peerDown";

    perform(state: HostState, input: Extract<Input, { kind: "peerDown"; }>, now: Milliseconds): Step {
        const { identity } = input;
        const known = state.peers[identity.host];
        if (!known?.isUp || known.identity.incarnation !== identity.incarnation) {
            return { state, effects: [] };
        }
        const peers = { ...state.peers, [identity.host]: { ...known, isUp: false, changedAt: now } };
        return { state: { ...state, peers, isPlanDue: true }, effects: [] };
    }
}

actionRegistry.register(new PeerDownAction());
