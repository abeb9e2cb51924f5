import { getAttestationKey } from "@arbutusdoor/configuration";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** Attestations by which the incarnation in a server row is lost, each as row key and operation id. */
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
