import type { ServerRow } from "../rows/serverRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { HostState } from "../state/hostState.js";
import { getReports } from "./getReports.js";

/**
 * Whether a server's row is to be rewritten unchanged, only so that its version grows and all revocations on older versions end: the server
 * answers, but revocations are in force that nobody can or will withdraw, of an abandoned takeover attempt or of a coordinator that is
 * gone. Reports on older versions of the row do not count.
 */
export function isRewriteDue(state: HostState, { version, value }: Versioned<ServerRow>): boolean {
    const attempt = state.coordinator.takeovers[value.server];
    if (attempt) {
        return attempt.isAbandoned;
    }
    const reports = getReports(state, value).map(({ report }) => report);
    return reports.some(report => report.isBarred && report.rowVersion === version)
        && reports.some(report => !report.isSuspect);
}
