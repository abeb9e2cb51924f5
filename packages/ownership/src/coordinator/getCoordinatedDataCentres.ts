import type { DataCentreId } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/**
 * Data centres whose servers and slices this host coordinates while it holds the coordinator row: its own, and those attested lost if its
 * own is the first declared one that is not. None if its own is attested lost.
 */
export function getCoordinatedDataCentres(state: HostState): readonly DataCentreId[] {
    const { dataCentre } = state.self;
    const lost = getLostDataCentres(state);
    if (lost.length === 0) {
        return [dataCentre];
    }
    if (lost.includes(dataCentre)) {
        return [];
    }
    const declared = (state.configuration?.declaration.dataCentres ?? []).map(name => name as DataCentreId);
    const first = declared.find(other => !lost.includes(other));
    return first === dataCentre ? [dataCentre, ...lost] : [dataCentre];
}

function getLostDataCentres(state: HostState): readonly DataCentreId[] {
    return Object.values(state.coordinator.attestations)
        .flatMap(({ value }) => value.kind === "dataCentre" ? [value.dataCentre as DataCentreId] : []);
}
