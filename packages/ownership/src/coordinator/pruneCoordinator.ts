import type { HostState } from "../state/hostState.js";
import type { RequestedChange } from "../state/requestedChange.js";
import { getStopProofKey } from "./getStopProofKey.js";

/** Forgets stop proofs that no row asks for any more, and planned changes that have come about. */
export function pruneCoordinator(state: HostState): HostState {
    const asked = new Set<string>();
    for (const { value } of Object.values(state.assignments)) {
        for (const former of value.slices.flatMap(slice => slice.former)) {
            asked.add(getStopProofKey(value.service, former));
        }
    }
    const stops = Object.fromEntries(
        Object.entries(state.coordinator.stopProofs).filter(([path]) => asked.has(path)),
    );
    const wanted = state.coordinator.requestedChanges.filter(change => isOpen(state, change));
    return { ...state, coordinator: { ...state.coordinator, stopProofs: stops, requestedChanges: wanted } };
}

function isOpen(state: HostState, change: RequestedChange): boolean {
    const index = state.slices[change.service];
    const slice = index?.byName[change.slice];
    if (!index || !slice) {
        return false;
    }
    return change.kind === "move"
        ? slice.owner?.server !== change.to
        : !Object.hasOwn(index.keys, change.key);
}
