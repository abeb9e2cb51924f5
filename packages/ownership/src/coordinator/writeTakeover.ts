import type { RowWrite } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId, RowKey, ServerIncarnation } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { Versioned } from "../rows/versioned.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startTransaction } from "../table/startTransaction.js";
import { createPlanningContext } from "./createPlanningContext.js";
import { getReports } from "./getReports.js";
import { planAssignmentRow } from "./planAssignmentRow.js";

/**
 * Ends the epoch of a server that is proved to have stopped, and reassigns its slices in the same transaction, up to the limit of rows. The
 * rest follows, because a holder of an ended epoch counts as stopped.
 */
export function writeTakeover(
    state: HostState,
    row: Versioned<ServerRow>,
    attestations: readonly string[],
    now: Milliseconds,
): Step {
    const key = ROW_KEYS.server(row.value.server);
    if (!canWrite(state, [key]) || !state.configuration) {
        return { state, effects: [] };
    }
    const next: ServerRow = {
        ...row.value,
        incarnation: getNewIncarnation(state, row.value) ?? row.value.incarnation,
        epoch: row.value.epoch + 1,
        attestations,
    };
    const planning = createPlanningContext(state, state.configuration.declaration, [next]);
    const writes: RowWrite[] = [{ key, expectedVersion: row.version, value: next }];
    for (const [name, assignment] of Object.entries(state.assignments)) {
        const isFree = assignment.value.service === next.service && canWrite(state, [name as RowKey]);
        const isFull = writes.length >= state.settings.rowsPerTransaction;
        const value = isFree && !isFull ? planAssignmentRow(planning, assignment.value) : undefined;
        if (value) {
            writes.push({ key: name as RowKey, expectedVersion: assignment.version, value });
        }
    }
    const step = startTransaction(state, writes, now);
    return { state: recordOperation(step.state, row.value), effects: step.effects };
}

/** The incarnation that answers at the server's address now, if it is another one. */
function getNewIncarnation(state: HostState, row: ServerRow): ServerIncarnation | undefined {
    const others = getReports(state, row).flatMap(({ report }) => report.otherIncarnation ?? []);
    return others[0];
}

function recordOperation(state: HostState, row: ServerRow): HostState {
    const attempt = state.coordinator.takeovers[row.server];
    if (!attempt) {
        return state;
    }
    const operationId = `${state.self.incarnation}-${state.counter}` as OperationId;
    const operations = [...attempt.operations, operationId];
    const takeovers = { ...state.coordinator.takeovers, [row.server]: { ...attempt, operations } };
    return { ...state, coordinator: { ...state.coordinator, takeovers } };
}
