import type { Milliseconds } from "@arbutusdoor/common";
import type { ServerRow } from "../rows/serverRow.js";
import type { HeardReport } from "../state/heardReport.js";
import type { HostState } from "../state/hostState.js";
import { getReports } from "./getReports.js";
import { hasHoldings } from "./hasHoldings.js";

/** Whether a server's grantors are to be barred: it is suspect, holds anything, and its service's objective does not ask to wait longer. */
export function isTakeoverWanted(state: HostState, row: ServerRow, now: Milliseconds): boolean {
    const suspicions = getReports(state, row).filter(({ report }) => report.isSuspect);
    if (suspicions.some(({ report }) => report.otherIncarnation !== undefined)) {
        return true;
    }
    if (suspicions.length === 0 || !hasHoldings(state, row)) {
        return false;
    }
    const service = state.configuration?.declaration.services.find(other => other.name === row.service);
    const { takeover = "lease", patienceMs = 0 } = service?.objective ?? {};
    if (takeover === "acknowledged") {
        return false;
    }
    const wait = patienceMs === 0 ? 0 : state.settings.leaseMs + patienceMs;
    const getSilence = ({ report, heardAt }: HeardReport) => report.silence + now - heardAt;
    return suspicions.every(heard => getSilence(heard) >= wait);
}
