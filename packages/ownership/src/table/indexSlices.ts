import type { Row } from "@arbutusdoor/clients";
import type { HostState } from "../state/hostState.js";
import { createSliceIndex } from "./createSliceIndex.js";

/** Rebuilds the slice index of each service of which one of the rows has been adopted. */
export function indexSlices(before: HostState, after: HostState, rows: readonly Row[]): HostState {
    const adopted = rows.flatMap(({ key }) => {
        const known = after.assignments[key];
        return known && known !== before.assignments[key] ? [known.value.service] : [];
    });
    const services = [...new Set(adopted)];
    if (services.length === 0) {
        return after;
    }
    const indexes = services.map(service => [service, createSliceIndex(after.assignments, service)]);
    return { ...after, slices: { ...after.slices, ...Object.fromEntries(indexes) } };
}
