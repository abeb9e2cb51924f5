import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import { getSlicePath } from "../lookups/getSlicePath.js";
import { AssignmentRow } from "../rows/assignmentRow.js";
import type { Grant } from "../state/grant.js";
import type { HostState } from "../state/hostState.js";
import { getMoveEvents } from "./getMoveEvents.js";

/** Adds a committed assignment row to the state, unless a newer one is known; its slices are not indexed yet. */
export function adoptAssignment(state: HostState, row: Row, now: Milliseconds): Step {
    const known = state.assignments[row.key];
    if (row.version <= (known?.version ?? 0)) {
        return { state, effects: [] };
    }
    const parsed = AssignmentRow.safeParse(row.value);
    if (!parsed.success) {
        return { state, effects: [] };
    }
    const assignments = { ...state.assignments, [row.key]: { version: row.version, value: parsed.data } };
    const grants = makeOrdersDue(state, parsed.data, now);
    return {
        state: { ...state, assignments, grants, isPlanDue: true },
        effects: state.coordinator.isHeld ? getMoveEvents(known?.value, parsed.data) : [],
    };
}

/** Makes an order due at once for each server that the row concerns. */
function makeOrdersDue(state: HostState, row: AssignmentRow, now: Milliseconds): HostState["grants"] {
    const concerned = new Set<string>();
    for (const { owner, former } of row.slices) {
        if (owner) {
            concerned.add(owner.server);
        }
        former.forEach(holder => concerned.add(holder.server));
    }
    const makeDue = (grant: Grant) =>
        concerned.has(grant.server) ? { ...grant, nextOrderAt: now, taken: pruneTaken(grant, row) } : grant;
    return Object.fromEntries(Object.entries(state.grants).map(([name, grant]) => [name, makeDue(grant)]));
}

/** What the server has taken, without the slices of the row that it is no longer to hold at that generation. */
function pruneTaken(grant: Grant, row: AssignmentRow): Grant["taken"] {
    const taken = { ...grant.taken };
    for (const { slice, owner, generation } of row.slices) {
        const path = getSlicePath(row.service, slice);
        if (owner?.server !== grant.server || taken[path] !== generation) {
            delete taken[path];
        }
    }
    return taken;
}
