import type { Row } from "@arbutusdoor/clients";
import { Attestation } from "@arbutusdoor/configuration";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Adds an operator's attestation to the state. */
export function adoptAttestation(state: HostState, row: Row): Step {
    const parsed = Attestation.safeParse(row.value);
    const known = state.coordinator.attestations[row.key];
    if (!parsed.success || row.version <= (known?.version ?? 0)) {
        return { state, effects: [] };
    }
    const attested = {
        ...state.coordinator.attestations,
        [row.key]: { version: row.version, value: parsed.data },
    };
    return {
        state: { ...state, coordinator: { ...state.coordinator, attestations: attested }, isPlanDue: true },
        effects: [{ kind: "log", event: "lossAttested", fields: { row: row.key } }],
    };
}
