import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const MEMORY_MS = 600_000;

/** Forgets peers whose link has been down for long, so that replaced hosts do not pile up. */
export function forgetPeers(state: HostState, now: Milliseconds): HostState {
    const kept = Object.entries(state.peers).filter(([, peer]) =>
        peer.isUp || now - peer.changedAt < MEMORY_MS
    );
    return { ...state, peers: Object.fromEntries(kept) };
}
