import type { HostId, Milliseconds } from "@arbutusdoor/common";
import { sendTo } from "../kernel/sendTo.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { isRevoked } from "../lookups/isRevoked.js";
import type { ServerReport } from "../messages/serverReport.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { isGrantorOf } from "./isGrantorOf.js";

/** Reports servers to the coordinator of their data centre: at once when something has changed, and at an interval. */
export function sendReports(state: HostState, now: Milliseconds): Step {
    const isDue = (grant: Grant) =>
        now >= grant.nextReportAt || isSuspect(state, grant, now) !== grant.isReportedSuspect;
    const due = Object.values(state.grants).filter(isDue);
    return sequence(state, ...due.map(grant => (current: HostState) => sendReport(current, grant, now)));
}

function isSuspect(state: HostState, grant: Grant, now: Milliseconds): boolean {
    return now - grant.repliedAt >= state.settings.suspectAfterMs
        || grant.isRefused
        || grant.otherIncarnation !== undefined;
}

function sendReport(state: HostState, grant: Grant, now: Milliseconds): Step {
    const row = state.servers[grant.server]!.value;
    const coordinator = state.coordinators[row.dataCentre]?.identity.host;
    if (!coordinator) {
        return { state, effects: [] };
    }
    const timed = {
        ...grant,
        nextReportAt: now + state.settings.reportIntervalMs,
        isReportedSuspect: isSuspect(state, grant, now),
    };
    const next = { ...state, grants: { ...state.grants, [grant.server]: timed } };
    const report = createReport(state, grant, now);
    return sequence(
        next,
        current => sendTo(current, coordinator, { kind: "serverReport", report }, now),
        current => sendRetired(current, row, coordinator, now),
    );
}

/**
 * Reports a host that a list change drops as retired, once it has no requests in flight to the server and none of the support that it gave
 * is in effect.
 */
function sendRetired(state: HostState, row: ServerRow, coordinator: HostId, now: Milliseconds): Step {
    const isRetiring = row.change !== undefined && !isGrantorOf(row.change, state.self);
    const isIdle = Object.values(state.inFlight[row.server] ?? {}).every(count => count === 0);
    const isSupporting = Object.values(state.supportGivenUntil[row.server] ?? {}).some(until => until >= now);
    if (!row.change || !isRetiring || !isIdle || isSupporting) {
        return { state, effects: [] };
    }
    const { listVersion } = row.change;
    return sendTo(state, coordinator, { kind: "retired", server: row.server, listVersion }, now);
}

function createReport(state: HostState, grant: Grant, now: Milliseconds): ServerReport {
    return {
        server: grant.server,
        incarnation: grant.incarnation,
        ...(grant.otherIncarnation === undefined ? {} : { otherIncarnation: grant.otherIncarnation }),
        listVersion: grant.listVersion,
        epoch: grant.acknowledgedEpoch,
        isLeaving: grant.isLeaving,
        isBarred: isRevoked(state, grant.server),
        rowVersion: state.servers[grant.server]!.version,
        isSuspect: isSuspect(state, grant, now),
        silence: now - grant.repliedAt,
    };
}
