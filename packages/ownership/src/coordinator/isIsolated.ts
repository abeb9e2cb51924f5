import type { Milliseconds } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

const WINDOW_LEASES = 2;

/**
 * Whether this host lost, within the last two coordinator leases, the links to more than half of its data centre's entry hosts. It is then
 * more likely partitioned itself than all of them lost: it changes no grantor lists and does not renew the coordinator row, so that another
 * host can claim it. If none has claimed it by the end of that time, the others are taken to be lost.
 */
export function isIsolated(state: HostState, now: Milliseconds): boolean {
    const windowMs = state.settings.deciderLeaseMs * WINDOW_LEASES;
    const peers = Object.values(state.peers)
        .filter(peer => peer.identity.dataCentre === state.self.dataCentre)
        .filter(peer => peer.isUp || now - peer.changedAt < windowMs);
    const up = peers.filter(peer => peer.isUp).length + 1;
    return up * 2 < peers.length + 1;
}
