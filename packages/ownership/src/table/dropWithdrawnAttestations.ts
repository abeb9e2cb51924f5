import type { Row } from "@arbutusdoor/clients";
import type { RowKey } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/** Removes attestations that a scan of all of them no longer returns: the operator has withdrawn them. */
export function dropWithdrawnAttestations(state: HostState, rows: readonly Row[]): HostState {
    const present = new Set(rows.map(row => row.key));
    const entries = Object.entries(state.coordinator.attestations).filter(([key]) =>
        present.has(key as RowKey)
    );
    if (entries.length === Object.keys(state.coordinator.attestations).length) {
        return state;
    }
    return {
        ...state,
        isPlanDue: true,
        coordinator: { ...state.coordinator, attestations: Object.fromEntries(entries) },
    };
}
