import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import { getReports } from "./getReports.js";
import { mayHoldSlices } from "./mayHoldSlices.js";

/**
 * Whether a takeover from a server is to be attempted: no reachable grantor still gets answers from it, and either another incarnation
 * answers at its address, or grantors suspect it, it may hold slices, and its service's objective neither rules that out nor asks for a
 * longer wait.
 */
export function isTakeoverDue(state: HostState, row: ServerRow, now: Milliseconds): boolean {
    const reports = getReports(state, row);
    const suspicions = reports.filter(({ report }) => report.isSuspect);
    const isAnswering = reports.some(received => !received.report.isSuspect && isLinked(state, received));
    if (isAnswering) {
        return false;
    }
    if (suspicions.some(({ report }) => report.otherIncarnation !== undefined)) {
        return true;
    }
    if (suspicions.length === 0 || !mayHoldSlices(state, row)) {
        return false;
    }
    const service = state.configuration?.declaration.services.find(other => other.name === row.service);
    const { takeover = "lease", patienceMs = 0 } = service?.objective ?? {};
    if (takeover === "acknowledged") {
        return false;
    }
    const wait = patienceMs === 0 ? 0 : state.settings.leaseMs + patienceMs;
    const getSilence = ({ report, receivedAt }: ReceivedReport) => report.silence + now - receivedAt;
    return suspicions.every(received => getSilence(received) >= wait);
}

/** Whether a report is from this host or from a peer with a working link. */
function isLinked(state: HostState, { from }: ReceivedReport): boolean {
    const peer = state.peers[from.host];
    return from.host === state.self.host
        || (peer?.isUp === true && peer.identity.incarnation === from.incarnation);
}
