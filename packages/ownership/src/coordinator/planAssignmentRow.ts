import { getKeyHash } from "@arbutusdoor/common";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import type { Slice } from "../rows/slice.js";
import type { PlanningContext } from "./planningContext.js";
import { planSlice } from "./planSlice.js";
import { splitSlice } from "./splitSlice.js";

/** Returns the next value of an assignment row, or `undefined` if nothing is to change. */
export function planAssignmentRow(planning: PlanningContext, row: AssignmentRow): AssignmentRow | undefined {
    const planned = row.slices.map(slice => planSlice(planning, row.service, slice));
    const keys = listKeysToSplit(planning, row);
    const split = keys.length === 0
        ? planned
        : planned.flatMap(slice => splitRequested(planning, slice, keys));
    const isChanged = split.length !== row.slices.length
        || split.some((slice, index) => slice !== row.slices[index]);
    return isChanged ? { ...row, slices: split } : undefined;
}

/** Splits off one key that an operator pinned or that policy wants to separate; others follow when this split is complete. */
function splitRequested(planning: PlanningContext, slice: Slice, keys: readonly string[]): readonly Slice[] {
    if (slice.key !== undefined || slice.former.length > 0 || !planning.homes.includes(slice.home)) {
        return [slice];
    }
    const isInside = (key: string) => {
        const position = getKeyHash(key);
        return position >= slice.from && position < slice.to;
    };
    const key = keys.find(isInside);
    return key === undefined ? [slice] : splitSlice(slice, key);
}

/** Keys of a service that are to get slices of their own and have none yet. */
function listKeysToSplit(planning: PlanningContext, { service }: AssignmentRow): readonly string[] {
    const { routes = [] } = planning.declaration.services.find(other => other.name === service) ?? {};
    const requested = planning.state.coordinator.requestedChanges
        .flatMap(change => change.kind === "split" && change.service === service ? [change.key] : []);
    const known = planning.state.slices[service]?.keys ?? {};
    return [...routes.map(route => route.key), ...requested].filter(key => !Object.hasOwn(known, key));
}
