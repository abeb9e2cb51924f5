import type { Row } from "@arbutusdoor/clients";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";

/** Sends committed assignment and server rows to all peers. */
export function announceRows(state: HostState, rows: readonly Row[]): Step {
    const shared = rows.filter(({ key }) =>
        key.startsWith(ROW_KEYS.assignmentPrefix) || key.startsWith(ROW_KEYS.serverPrefix)
    );
    const peers = Object.values(state.peers).filter(peer => peer.isUp);
    if (shared.length === 0) {
        return { state, effects: [] };
    }
    return {
        state,
        effects: peers.map(peer => ({
            kind: "sendPeer",
            to: peer.identity.host,
            message: { kind: "rows", rows: shared },
        })),
    };
}
