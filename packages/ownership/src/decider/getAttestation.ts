import { ROW_KEYS } from "../rows/rowKeys.js";
import type { ServerRow } from "../rows/serverRow.js";
import type { HostState } from "../state/hostState.js";

/** The version of an attestation that the server of a row, or its data centre, is lost, if the row does not cover it yet. */
export function getAttestation(state: HostState, row: ServerRow): number | undefined {
    const { attested } = state.decider;
    const own = attested[ROW_KEYS.attestedServer(row.server)];
    const isOwn = own?.value.kind === "server" && own.value.incarnation === row.incarnation;
    const centre = attested[ROW_KEYS.attestedDataCentre(row.dataCentre)];
    const version = Math.max(isOwn ? own.version : 0, centre?.version ?? 0);
    return version > (row.attestation ?? 0) ? version : undefined;
}
