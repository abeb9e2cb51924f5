import { ROW_KEYS } from "../rows/rowKeys.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** The attestations, each as row key and operation id, by which the run of a server row is lost. */
export function getAttestations(state: HostState, row: ServerRow): readonly string[] {
    const keys = [
        ROW_KEYS.attestedServer(row.server, row.incarnation),
        ROW_KEYS.attestedDataCentre(row.dataCentre),
    ];
    return keys.flatMap(key => {
        const known = state.decider.attested[key];
        return known ? [`${key}@${known.value.operationId}`] : [];
    });
}
