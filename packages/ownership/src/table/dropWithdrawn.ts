import type { Row } from "@arbutusdoor/clients";
import type { RowKey } from "@arbutusdoor/common";
import type { HostState } from "../state/hostState.js";

/** Forgets attestations that a scan of all of them no longer holds: the operator withdrew them. */
export function dropWithdrawn(state: HostState, rows: readonly Row[]): HostState {
    const present = new Set(rows.map(row => row.key));
    const entries = Object.entries(state.coordinator.attested).filter(([key]) => present.has(key as RowKey));
    if (entries.length === Object.keys(state.coordinator.attested).length) {
        return state;
    }
    return {
        ...state,
        isPlanDue: true,
        coordinator: { ...state.coordinator, attested: Object.fromEntries(entries) },
    };
}
