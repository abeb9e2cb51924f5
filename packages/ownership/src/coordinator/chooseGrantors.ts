import { getKeyHash, type Milliseconds } from "@arbutusdoor/common";
import type { GrantorList } from "../rows/grantorList.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";

/** Returns the grantors that a server should have: its present ones that are up and not resigning, and others by rendezvous hash. */
export function chooseGrantors(
    state: HostState,
    server: ServerRow["server"],
    present: GrantorList["grantors"],
    now: Milliseconds,
): GrantorList["grantors"] {
    const { grantorsPerServer } = state.settings;
    const staying = present.filter(grantor => isStaying(state, grantor, now));
    if (staying.length >= grantorsPerServer) {
        return staying.slice(0, grantorsPerServer);
    }
    const isNew = (grantor: GrantorList["grantors"][number]) =>
        !staying.some(other => other.host === grantor.host);
    return [...staying, ...rankCandidates(state, server).filter(isNew)].slice(0, grantorsPerServer);
}

/** Candidates for the grantors of a server, ordered by rendezvous hash. */
function rankCandidates(state: HostState, server: ServerRow["server"]): GrantorList["grantors"] {
    return getCandidates(state)
        .map(identity => ({ identity, weight: getKeyHash(`${server}/${identity.host}`) }))
        .sort((left, right) => right.weight - left.weight)
        .map(({ identity }) => ({ host: identity.host, incarnation: identity.incarnation }));
}

/** Entry hosts of this data centre that are up and not resigning. */
function getCandidates(state: HostState): readonly HostIdentity[] {
    const peers = Object.values(state.peers)
        .filter(peer => peer.isUp && !peer.isResigning)
        .map(peer => peer.identity)
        .filter(identity => identity.dataCentre === state.self.dataCentre);
    return state.isResigning ? peers : [state.self, ...peers];
}

/** Whether a grantor is up and not resigning, or was lost too recently to be replaced. */
function isStaying(state: HostState, grantor: GrantorList["grantors"][number], now: Milliseconds): boolean {
    if (grantor.host === state.self.host) {
        return grantor.incarnation === state.self.incarnation && !state.isResigning;
    }
    const peer = state.peers[grantor.host];
    if (peer?.identity.incarnation !== grantor.incarnation || peer.isResigning) {
        return false;
    }
    return peer.isUp || now - peer.changedAt < state.settings.grantorLossMs;
}
