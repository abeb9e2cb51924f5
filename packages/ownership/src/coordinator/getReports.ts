import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import { getAllGrantors } from "./getAllGrantors.js";

const REPORTS_KEPT_INTERVALS = 3;

/** Recent reports about the incarnation in a server row, from the hosts that may renew its lease. */
export function getReports(state: HostState, row: ServerRow): readonly ReceivedReport[] {
    const oldest = state.updatedAt - REPORTS_KEPT_INTERVALS * state.settings.reportIntervalMs;
    const members = getAllGrantors(row);
    const isCurrent = ({ from, receivedAt, report }: ReceivedReport) =>
        receivedAt >= oldest
        && report.incarnation === row.incarnation
        && members.some(member => member.host === from.host && member.incarnation === from.incarnation);
    return Object.values(state.coordinator.reports[row.server] ?? {}).filter(isCurrent);
}
