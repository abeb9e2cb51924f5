import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { adoptAssignment } from "./adoptAssignment.js";
import { adoptAttestation } from "./adoptAttestation.js";
import { adoptCoordinator } from "./adoptCoordinator.js";
import { adoptServer } from "./adoptServer.js";
import { indexSlices } from "./indexSlices.js";

/** Adds committed rows to the state; the highest version of each row is kept. */
export function adoptRows(state: HostState, rows: readonly Row[], now: Milliseconds): Step {
    const step = sequence(state, ...rows.map(row => (current: HostState) => adoptRow(current, row, now)));
    return { ...step, state: indexSlices(state, step.state, rows) };
}

function adoptRow(state: HostState, row: Row, now: Milliseconds): Step {
    if (row.key.startsWith(ROW_KEYS.assignmentPrefix)) {
        return adoptAssignment(state, row, now);
    }
    if (row.key.startsWith(ROW_KEYS.serverPrefix)) {
        return adoptServer(state, row, now);
    }
    if (row.key === ROW_KEYS.decider(state.self.dataCentre)) {
        return adoptCoordinator(state, row, now);
    }
    if (row.key.startsWith(ROW_KEYS.attestedPrefix)) {
        return adoptAttestation(state, row);
    }
    return { state, effects: [] };
}
