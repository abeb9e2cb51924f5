import type { ServerId } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import { getReports } from "./getReports.js";
import { isLeaving } from "./isLeaving.js";
import type { PlanningContext } from "./planningContext.js";

/** Whether a server can be assigned slices now: it is declared, not leaving, and answers its grantors as the incarnation in its row. */
export function isEligible(planning: PlanningContext, server: ServerId): boolean {
    const row = planning.servers[server];
    if (!row || isLeaving(planning, server)) {
        return false;
    }
    if (!planning.homes.includes(row.dataCentre)) {
        return true;
    }
    const before = planning.state.servers[server]?.value ?? row;
    const hasAttempt = planning.state.coordinator.takeovers[server] !== undefined;
    const reports = getReports(planning.state, before);
    if (before.incarnation !== row.incarnation) {
        return reports.some(({ report }) => report.otherIncarnation === row.incarnation);
    }
    return !hasAttempt && reports.some(received => isAnswering(received, row));
}

function isAnswering({ report }: ReceivedReport, row: ServerRow): boolean {
    return report.incarnation === row.incarnation && !report.isSuspect && report.epoch > 0;
}
