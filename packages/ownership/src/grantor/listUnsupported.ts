import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { getAllGrantors } from "../coordinator/getAllGrantors.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostState } from "../state/hostState.js";

const PARTS_PER_MILLION = 1_000_000;

/**
 * Lists the other grantors of a server that have no support from this host any more, nor a lease renewed under it. None unless this host
 * has the server's row at the version that the revocation names, and has known the grantor list for longer than a lease: leases that hosts
 * of earlier lists renewed have then expired too.
 */
export function listUnsupported(
    state: HostState,
    server: ServerId,
    basisVersion: number,
    now: Milliseconds,
): readonly string[] {
    const row = state.servers[server];
    const grant = state.grants[server];
    const { leaseMs, clockDriftPpm } = state.settings;
    const earlierLeasesEnd = (grant?.listKnownSince ?? now)
        + leaseMs * (1 + clockDriftPpm / PARTS_PER_MILLION);
    if (row?.version !== basisVersion || now <= earlierLeasesEnd) {
        return [];
    }
    const support = state.supportGivenUntil[server] ?? {};
    return getAllGrantors(row.value)
        .filter(member => member.host !== state.self.host)
        .map(getIncarnationName)
        .filter(name => (support[name] ?? 0) < now);
}
