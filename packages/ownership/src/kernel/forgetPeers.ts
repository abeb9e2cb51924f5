import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const RETENTION_MS = 600_000;

/** Removes peers whose link has been down for long, so that replaced hosts do not accumulate. */
export function forgetPeers(state: HostState, now: Milliseconds): HostState {
    const kept = Object.entries(state.peers).filter(([, peer]) =>
        peer.isUp || now - peer.changedAt < RETENTION_MS
    );
    return { ...state, peers: Object.fromEntries(kept) };
}
