import { getAttestationKey } from "@arbutusdoor/configuration";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** The attestations, each as row key and operation id, by which the run of a server row is lost. */
export function getAttestations(state: HostState, row: ServerRow): readonly string[] {
    const { server, incarnation, dataCentre } = row;
    const keys = [
        getAttestationKey({ kind: "server", server, incarnation }),
        getAttestationKey({ kind: "dataCentre", dataCentre }),
    ];
    return keys.flatMap(key => {
        const known = state.coordinator.attestations[key];
        return known ? [`${key}@${known.value.operationId}`] : [];
    });
}
