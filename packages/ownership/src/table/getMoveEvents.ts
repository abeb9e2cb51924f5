import type { Effect } from "../kernel/effect.js";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import type { Slice } from "../rows/slice.js";

/** Log events of the moves that begin or end between two versions of an assignment row. */
export function getMoveEvents(before: AssignmentRow | undefined, after: AssignmentRow): readonly Effect[] {
    const known = new Map(before?.slices.map(slice => [slice.slice, slice]));
    return after.slices.flatMap(slice => getEvents(after.service, known.get(slice.slice), slice));
}

function getEvents(service: string, before: Slice | undefined, after: Slice): readonly Effect[] {
    const wasMoving = (before?.former.length ?? 0) > 0;
    const isMoving = after.former.length > 0;
    const hasNewOwner = before?.owner?.server !== after.owner?.server;
    const { slice, generation } = after;
    const fields = { service, slice, generation, from: before?.owner?.server, to: after.owner?.server };
    const events: Effect[] = [];
    if (!wasMoving && (isMoving || hasNewOwner)) {
        events.push({ kind: "log", event: "moveBegun", fields });
    }
    if (!isMoving && (wasMoving || hasNewOwner)) {
        events.push({ kind: "log", event: "moveEnded", fields });
    }
    return events;
}
