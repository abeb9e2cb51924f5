import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const MEMORY_MS = 10_000;

/**
 * Whether this host recently lost the links to more than half of its data centre's entry hosts: it is more likely cut off itself than
 * all of them lost. It then changes no grantor lists and lets the decider row age, so that another host can claim it.
 */
export function isIsolated(state: HostState, now: Milliseconds): boolean {
    const peers = Object.values(state.peers)
        .filter(peer => peer.identity.dataCentre === state.self.dataCentre)
        .filter(peer => peer.isUp || now - peer.changedAt < MEMORY_MS);
    const up = peers.filter(peer => peer.isUp).length + 1;
    return up * 2 < peers.length + 1;
}
