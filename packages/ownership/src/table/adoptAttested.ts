import type { Row } from "@arbutusdoor/clients";
import { Attestation } from "@arbutusdoor/configuration";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Takes an operator's attestation into the state. */
export function adoptAttested(state: HostState, row: Row): Step {
    const parsed = Attestation.safeParse(row.value);
    const known = state.coordinator.attested[row.key];
    if (!parsed.success || row.version <= (known?.version ?? 0)) {
        return { state, effects: [] };
    }
    const attested = { ...state.coordinator.attested, [row.key]: { version: row.version, value: parsed.data } };
    return {
        state: { ...state, coordinator: { ...state.coordinator, attested }, isPlanDue: true },
        effects: [{ kind: "log", event: "lossAttested", fields: { row: row.key } }],
    };
}
