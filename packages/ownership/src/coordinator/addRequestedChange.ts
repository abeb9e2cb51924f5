import type { HostState } from "../state/hostState.js";
import type { RequestedChange } from "../state/requestedChange.js";
import { getCoordinatedDataCentres } from "./getCoordinatedDataCentres.js";

/**
 * Queues a requested change if this host coordinates the slice and the queue has room; a newer one of its kind for the same slice replaces
 * it.
 */
export function addRequestedChange(state: HostState, change: RequestedChange): HostState {
    const slice = state.slices[change.service]?.byName[change.slice];
    const isCoordinated = state.coordinator.isHeld && slice
        && getCoordinatedDataCentres(state).includes(slice.home);
    const others = state.coordinator.requestedChanges.filter(other =>
        other.kind !== change.kind || other.service !== change.service || other.slice !== change.slice
    );
    if (!isCoordinated || others.length >= state.settings.wantedMoves) {
        return state;
    }
    return {
        ...state,
        isPlanDue: true,
        coordinator: { ...state.coordinator, requestedChanges: [...others, change] },
    };
}
