import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** The host is to stop: tells its peers, so that the coordinator removes it from the grantor lists. */
export class ResignAction extends Action<"resign"> {
    readonly name = "resign";

    perform(state: HostState): Step {
        if (state.isResigning) {
            return { state, effects: [] };
        }
        const peers = Object.values(state.peers).filter(peer => peer.isUp);
        return {
            state: {
                ...state,
                isResigning: true,
                isPlanDue: true,
                coordinator: { ...state.coordinator, nextCheckAt: 0 },
            },
            effects: peers.map(peer => ({
                kind: "sendPeer",
                to: peer.identity.host,
                message: { kind: "hostStatus", isResigning: true },
            })),
        };
    }
}

actionRegistry.register(new ResignAction());
