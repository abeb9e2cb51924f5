import type { ServerRow } from "../rows/serverRow.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";

/**
 * Returns the grantors of a server that this host has a link to, itself included, in order of preference: those that stay through a list
 * change, those that join, those that leave; this host first if it stays.
 */
export function getLiveGrantors(state: HostState, row: ServerRow): readonly HostIdentity[] {
    const changed = row.change?.grantors ?? row.list.grantors;
    const staying = row.list.grantors.filter(grantor => changed.some(other => other.host === grantor.host));
    const all = [...staying, ...changed, ...row.list.grantors];
    const live: HostIdentity[] = [];
    for (const { host, incarnation } of all) {
        const identity = getLiveHost(state, host);
        const isNew = !live.some(other => other.host === host);
        if (identity?.incarnation === incarnation && isNew) {
            live.push(identity);
        }
    }
    const isSelf = (identity: HostIdentity) => identity.host === state.self.host;
    const isLocalFirst = staying.some(grantor => grantor.host === state.self.host);
    return isLocalFirst ? [...live.filter(isSelf), ...live.filter(other => !isSelf(other))] : live;
}

function getLiveHost(state: HostState, host: HostIdentity["host"]): HostIdentity | undefined {
    if (host === state.self.host) {
        return state.self;
    }
    const peer = state.peers[host];
    return peer?.isUp ? peer.identity : undefined;
}
