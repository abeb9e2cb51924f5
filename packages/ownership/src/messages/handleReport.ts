import type { HostId, Milliseconds, ServerId } from "@arbutusdoor/common";
import { abandonTakeover } from "../coordinator/abandonTakeover.js";
import type { Step } from "../kernel/step.js";
import type { HostIdentity } from "../state/hostIdentity.js";
import type { HostState } from "../state/hostState.js";
import type { ReceivedReport } from "../state/receivedReport.js";
import type { ServerReport } from "./serverReport.js";

const MEMORY_MS = 10_000;

/** Notes what a grantor sees of a server. One that answers ends a round of bars against it. */
export function handleReport(
    state: HostState,
    from: HostIdentity,
    report: ServerReport,
    now: Milliseconds,
): Step {
    const known = getRecent(state, report.server, now);
    const heard = { from, receivedAt: now, report };
    const reports = { ...state.coordinator.reports, [report.server]: { ...known, [from.host]: heard } };
    const before = known[from.host];
    const isNews = !before || getGist(before.report) !== getGist(report);
    const isPlanDue = state.isPlanDue || isNews;
    const noted = { ...state, isPlanDue, coordinator: { ...state.coordinator, reports } };
    const round = state.coordinator.takeovers[report.server];
    const hasAnswered = round !== undefined
        && report.incarnation === round.incarnation
        && !report.isSuspect
        && before?.report.isSuspect === true;
    return hasAnswered ? abandonTakeover(noted, report.server, now) : { state: noted, effects: [] };
}

/** Reports about a server that are not old; hosts that have gone leave none behind. */
function getRecent(
    state: HostState,
    server: ServerId,
    now: Milliseconds,
): Readonly<Record<HostId, ReceivedReport>> {
    const entries = Object.entries(state.coordinator.reports[server] ?? {});
    return Object.fromEntries(entries.filter(([, { receivedAt: heardAt }]) => now - heardAt < MEMORY_MS));
}

/** All of a report but the passing of time. */
function getGist(report: ServerReport): string {
    return JSON.stringify({ ...report, silence: 0 });
}
