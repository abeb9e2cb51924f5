import type { Milliseconds } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { advanceTakeovers } from "./advanceTakeovers.js";
import { maintainCoordinatorLease } from "./maintainCoordinatorLease.js";
import { planAssignmentRows } from "./planAssignmentRows.js";
import { planServers } from "./planServers.js";
import { probeServers } from "./probeServers.js";
import { pruneCoordinator } from "./pruneCoordinator.js";
import { sendHeartbeats } from "./sendHeartbeats.js";
import { writeInitialAssignment } from "./writeInitialAssignment.js";
import { writeServerRows } from "./writeServerRows.js";

/** Does the work of the coordinator: its own lease, and the next decisions about servers and slices. */
export function plan(state: HostState, now: Milliseconds): Step {
    return sequence(
        state,
        current => maintainCoordinatorLease(current, now),
        current => sendHeartbeats(current, now),
        current => decide(current, now),
    );
}

function decide(state: HostState, now: Milliseconds): Step {
    const { coordinator, configuration, isPlanDue } = state;
    const prefixes = [ROW_KEYS.serverPrefix, ROW_KEYS.assignmentPrefix, ROW_KEYS.attestedPrefix];
    const hasRead = prefixes.every(prefix => state.table.scanned[prefix] !== undefined);
    const isDue = isPlanDue || now >= coordinator.nextPlanAt;
    if (!coordinator.isHeld || !configuration || !hasRead || !isDue) {
        return { state, effects: [] };
    }
    const { barRepeatMs, reportIntervalMs } = state.settings;
    const nextPlanAt = now + barRepeatMs;
    const areSlicesDue = isPlanDue || now >= coordinator.nextSlicePlanAt;
    const nextSlicePlanAt = areSlicesDue ? now + reportIntervalMs : coordinator.nextSlicePlanAt;
    const begun = {
        ...state,
        isPlanDue: false,
        coordinator: { ...coordinator, nextPlanAt, nextSlicePlanAt },
    };
    return sequence(
        begun,
        current => advanceTakeovers(current, now),
        current => planServers(current, now),
        current => probeServers(current, now),
        current => writeServerRows(current, now),
        current => areSlicesDue ? planSlices(current, now) : { state: current, effects: [] },
    );
}

function planSlices(state: HostState, now: Milliseconds): Step {
    return sequence(
        pruneCoordinator(state),
        current => writeInitialAssignment(current, now),
        current => planAssignmentRows(current, now),
    );
}
