import type { HostState } from "../state/hostState.js";
import type { WantedChange } from "../state/wantedChange.js";
import { getResponsibilities } from "./getResponsibilities.js";

/** Notes a planned change if this host decides about the slice and there is room; a newer one for the same slice replaces it. */
export function addWanted(state: HostState, change: WantedChange): HostState {
    const slice = state.slices[change.service]?.byName[change.slice];
    const isMine = state.decider.isHeld && slice && getResponsibilities(state).includes(slice.home);
    const others = state.decider.wanted.filter(other =>
        other.kind !== change.kind || other.service !== change.service || other.slice !== change.slice
    );
    if (!isMine || others.length >= state.settings.wantedMoves) {
        return state;
    }
    return { ...state, isPlanDue: true, decider: { ...state.decider, wanted: [...others, change] } };
}
