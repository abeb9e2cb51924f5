import type { HostState } from "../state/hostState.js";

/** Whether a resigning host has left: it does not hold the coordinator row, and no known grantor list names it. */
export function isResigned(state: HostState): boolean {
    return state.isResigning && !state.coordinator.isHeld && Object.keys(state.grants).length === 0;
}
