import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Effect } from "../kernel/effect.js";
import { forgetPeers } from "../kernel/forgetPeers.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";

/** A link to a peer is up: sends it this host's status, and requests rows from it if this host could not read them itself. */
export class PeerUpAction extends Action<"peerUp"> {
    readonly name = "peerUp";

    perform(state: HostState, input: Extract<Input, { kind: "peerUp"; }>, now: Milliseconds): Step {
        const { identity } = input;
        const known = state.peers[identity.host];
        const isResigning = known?.identity.incarnation === identity.incarnation && known.isResigning;
        const peer = { identity, isUp: true, changedAt: now, isResigning };
        const peers = { ...forgetPeers(state, now).peers, [identity.host]: peer };
        const effects: Effect[] = [{
            kind: "sendPeer",
            to: identity.host,
            message: { kind: "hostStatus", isResigning: state.isResigning },
        }];
        const hasRead = state.table.scanned[ROW_KEYS.assignmentPrefix] !== undefined;
        if (!hasRead || state.table.failures > 0) {
            effects.push({ kind: "sendPeer", to: identity.host, message: { kind: "rowsWanted" } });
        }
        return { state: { ...state, peers, isPlanDue: true }, effects };
    }
}

actionRegistry.register(new PeerUpAction());
