import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const LEASES_REMEMBERED = 2;

/**
 * Whether this host recently lost the links to more than half of its data centre's entry hosts: it is more likely cut off itself than
 * all of them lost. It then changes no grantor lists and lets the decider row age, so that another host can claim it.
 * When none has by then, the others are lost indeed.
 */
export function isIsolated(state: HostState, now: Milliseconds): boolean {
    const memory = state.settings.deciderLeaseMs * LEASES_REMEMBERED;
    const peers = Object.values(state.peers)
        .filter(peer => peer.identity.dataCentre === state.self.dataCentre)
        .filter(peer => peer.isUp || now - peer.changedAt < memory);
    const up = peers.filter(peer => peer.isUp).length + 1;
    return up * 2 < peers.length + 1;
}
