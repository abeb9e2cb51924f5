import type { RowWrite } from "@arbutusdoor/clients";
import type { Milliseconds, RowKey } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { canWrite } from "../table/canWrite.js";
import { startTransaction } from "../table/startTransaction.js";
import { createPlanningContext } from "./createPlanningContext.js";
import { planAssignmentRow } from "./planAssignmentRow.js";

/** Writes the next decisions about slices, one transaction for each assignment row. */
export function planAssignmentRows(state: HostState, now: Milliseconds): Step {
    if (!state.configuration) {
        return { state, effects: [] };
    }
    const planning = createPlanningContext(state, state.configuration.declaration);
    const decisions = Object.entries(state.assignments).flatMap(([name, { version, value }]) => {
        const key = name as RowKey;
        const next = canWrite(state, [key]) ? planAssignmentRow(planning, value) : undefined;
        const writes = next
            && [{ key, expectedVersion: version, value: next }, ...getRewrites(state, value, next)];
        return writes ? [(current: HostState) => write(current, writes, now)] : [];
    });
    return sequence(state, ...decisions);
}

function write(state: HostState, writes: readonly RowWrite[], now: Milliseconds): Step {
    const isFree = canWrite(state, writes.map(({ key }) => key));
    return isFree ? startTransaction(state, writes, now) : { state, effects: [] };
}

/**
 * Rewrites the rows of servers that do not check orders and lose slices, so that no grantor can join such a server between the decision and
 * the stop proofs of the hosts that may send to it.
 */
function getRewrites(state: HostState, before: AssignmentRow, next: AssignmentRow): readonly RowWrite[] {
    const known = new Set(before.slices.flatMap(slice => slice.former).map(former => former.server));
    const losing = new Set(next.slices.flatMap(slice => slice.former).map(former => former.server));
    return [...losing].flatMap(server => {
        const row = state.servers[server];
        const isRewritten = row !== undefined && !row.value.checksOrders && !known.has(server);
        return isRewritten
            ? [{ key: ROW_KEYS.server(server), expectedVersion: row.version, value: row.value }]
            : [];
    });
}
