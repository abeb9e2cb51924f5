import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { getAllGrantors } from "../coordinator/getAllGrantors.js";
import { getIncarnationName } from "../state/getIncarnationName.js";
import type { HostState } from "../state/hostState.js";

const PARTS_PER_MILLION = 1_000_000;

/**
 * The other members of a server's grantor lists to which no promise of this host runs any more, nor any lease renewed under one.
 * None unless this host goes by the version of the row that the bar names, and has known the list for longer than a lease:
 * leases that hosts of earlier lists renewed have then ended too.
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
    const settledAt = (grant?.listKnownSince ?? now) + leaseMs * (1 + clockDriftPpm / PARTS_PER_MILLION);
    if (row?.version !== basisVersion || now <= settledAt) {
        return [];
    }
    const given = state.supportGivenUntil[server] ?? {};
    return getAllGrantors(row.value)
        .filter(member => member.host !== state.self.host)
        .map(getIncarnationName)
        .filter(name => (given[name] ?? 0) < now);
}
