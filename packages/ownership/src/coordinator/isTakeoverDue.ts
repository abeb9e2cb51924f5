import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import { getReports } from "./getReports.js";
import { mayHoldSlices } from "./mayHoldSlices.js";

/** Whether a server's grantors are to be barred: every grantor that is up suspects it, it holds anything, and its service's objective does not ask to wait longer. */
export function isTakeoverDue(state: HostState, row: ServerRow, now: Milliseconds): boolean {
    const reports = getReports(state, row);
    const suspicions = reports.filter(({ report }) => report.isSuspect);
    const isAnswering = reports.some(heard => !heard.report.isSuspect && isLinked(state, heard));
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
    const getSilence = ({ report, receivedAt: heardAt }: ReceivedReport) => report.silence + now - heardAt;
    return suspicions.every(heard => getSilence(heard) >= wait);
}

/** Whether the host of a report is this one or has a link to it. */
function isLinked(state: HostState, { from }: ReceivedReport): boolean {
    const peer = state.peers[from.host];
    return from.host === state.self.host
        || (peer?.isUp === true && peer.identity.incarnation === from.incarnation);
}
