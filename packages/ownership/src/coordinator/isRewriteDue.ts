import type { ServerRow } from "../rows/serverRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { HostState } from "../state/hostState.js";
import { getReports } from "./getReports.js";

/**
 * Whether a server's row is to be rewritten as it is, only so that its version grows and all bars on older versions end: the server
 * answers, but promises stand that nobody can or will give back, of a round that was abandoned or of a decider that is gone.
 * A report from before the present version says nothing about it.
 */
export function isRewriteDue(state: HostState, { version, value }: Versioned<ServerRow>): boolean {
    const round = state.coordinator.takeovers[value.server];
    if (round) {
        return round.isAbandoned;
    }
    const reports = getReports(state, value).map(({ report }) => report);
    return reports.some(report => report.isBarred && report.rowVersion === version)
        && reports.some(report => !report.isSuspect);
}
