import { getKeyHash } from "@arbutusdoor/common";
import type { AssignmentRow } from "../rows/assignmentRow.js";
import type { Slice } from "../rows/slice.js";
import type { Planning } from "./planning.js";
import { planSlice } from "./planSlice.js";
import { splitSlice } from "./splitSlice.js";

/** The next value of an assignment row, or `undefined` when there is nothing to decide. */
export function planShard(planning: Planning, row: AssignmentRow): AssignmentRow | undefined {
    const planned = row.slices.map(slice => planSlice(planning, row.service, slice));
    const split = planned.flatMap(slice => splitWanted(planning, row, slice));
    const isChanged = split.length !== row.slices.length
        || split.some((slice, index) => slice !== row.slices[index]);
    return isChanged ? { ...row, slices: split } : undefined;
}

/** Splits off one key that an operator pinned or that policy wants apart; further ones follow when this split has ended. */
function splitWanted(planning: Planning, row: AssignmentRow, slice: Slice): readonly Slice[] {
    if (slice.key !== undefined || slice.former.length > 0 || !planning.homes.includes(slice.home)) {
        return [slice];
    }
    const known = planning.state.slices[row.service]?.keys ?? {};
    const keys = getWantedKeys(planning, row, slice).filter(key => !Object.hasOwn(known, key));
    return keys[0] === undefined ? [slice] : splitSlice(slice, keys[0]);
}

function getWantedKeys(planning: Planning, row: AssignmentRow, slice: Slice): readonly string[] {
    const { routes = [] } = planning.declaration.services.find(other => other.name === row.service) ?? {};
    const wanted = planning.state.decider.wanted
        .flatMap(change => change.kind === "split" && change.service === row.service ? [change.key] : []);
    const isInside = (key: string) => {
        const position = getKeyHash(key);
        return position >= slice.from && position < slice.to;
    };
    return [...routes.map(route => route.key), ...wanted].filter(isInside);
}
