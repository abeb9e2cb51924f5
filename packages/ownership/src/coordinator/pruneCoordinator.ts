import type { HostState } from "../state/hostState.js";
import type { RequestedChange } from "../state/requestedChange.js";
import { getStopProofKey } from "./getStopProofKey.js";

/** Removes stop proofs that no row needs any more, and requested changes that have been made or whose slice is gone. */
export function pruneCoordinator(state: HostState): HostState {
    const needed = new Set<string>();
    for (const { value } of Object.values(state.assignments)) {
        for (const former of value.slices.flatMap(slice => slice.former)) {
            needed.add(getStopProofKey(value.service, former));
        }
    }
    const stopProofs = Object.fromEntries(
        Object.entries(state.coordinator.stopProofs).filter(([path]) => needed.has(path)),
    );
    const requestedChanges = state.coordinator.requestedChanges.filter(change => isOpen(state, change));
    return { ...state, coordinator: { ...state.coordinator, stopProofs, requestedChanges } };
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
