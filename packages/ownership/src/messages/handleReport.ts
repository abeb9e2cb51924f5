import type { HostId, Milliseconds, ServerId } from "@arbutusdoor/common";
import { abandonTakeover } from "../coordinator/abandonTakeover.js";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import type { ServerReport } from "./serverReport.js";

const RETENTION_MS = 10_000;

/** Records a grantor's report about a server. A server that answers ends the takeover attempt against it. */
export function handleReport(
    state: HostState,
    from: HostIdentity,
    report: ServerReport,
    now: Milliseconds,
): Step {
    const known = getRecent(state, report.server, now);
    const received = { from, receivedAt: now, report };
    const reports = { ...state.coordinator.reports, [report.server]: { ...known, [from.host]: received } };
    const before = known[from.host];
    const isNews = !before || getContent(before.report) !== getContent(report);
    const isPlanDue = state.isPlanDue || isNews;
    const recorded = { ...state, isPlanDue, coordinator: { ...state.coordinator, reports } };
    const attempt = state.coordinator.takeovers[report.server];
    const hasAnswered = attempt !== undefined
        && report.incarnation === attempt.incarnation
        && !report.isSuspect
        && before?.report.isSuspect === true;
    return hasAnswered ? abandonTakeover(recorded, report.server, now) : { state: recorded, effects: [] };
}

/** Returns the recent reports about a server, so that those of hosts that are gone are dropped. */
function getRecent(
    state: HostState,
    server: ServerId,
    now: Milliseconds,
): Readonly<Record<HostId, ReceivedReport>> {
    const entries = Object.entries(state.coordinator.reports[server] ?? {});
    return Object.fromEntries(entries.filter(([, { receivedAt }]) => now - receivedAt < RETENTION_MS));
}

/** A report without its times, for comparison. */
function getContent(report: ServerReport): string {
    return JSON.stringify({ ...report, silence: 0 });
}
