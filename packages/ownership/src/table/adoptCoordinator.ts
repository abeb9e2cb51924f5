import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import { CoordinatorRow } from "../rows/coordinatorRow.js";
import type { HostState } from "../state/hostState.js";

/** Adds the coordinator row of this host's data centre to the state. Whether this host is coordinator is what the row says. */
export function adoptCoordinator(state: HostState, row: Row, now: Milliseconds): Step {
    const parsed = CoordinatorRow.safeParse(row.value);
    const known = state.coordinator.row;
    if (!parsed.success || row.version <= (known?.version ?? 0)) {
        return { state: { ...state, coordinator: { ...state.coordinator, checkedAt: now } }, effects: [] };
    }
    const { host, incarnation, isReleased, term } = parsed.data;
    const isSelf = host === state.self.host && incarnation === state.self.incarnation;
    const isHeld = isSelf && !isReleased;
    const role = {
        ...state.coordinator,
        isHeld,
        row: { version: row.version, value: parsed.data },
        rowSeenAt: now,
        checkedAt: now,
    };
    const event = getEvent(state.coordinator.isHeld, isHeld);
    const isElected = event === "deciderElected";
    return {
        state: {
            ...state,
            coordinator: isHeld ? role : { ...role, takeovers: {}, requestedChanges: [] },
            table: isElected ? { ...state.table, nextScanAt: now } : state.table,
            isPlanDue: true,
        },
        effects: event ? [{ kind: "log", event, fields: { term } }] : [],
    };
}

function getEvent(wasHeld: boolean, isHeld: boolean) {
    if (wasHeld === isHeld) {
        return undefined;
    }
    return isHeld ? "deciderElected" as const : "deciderLost" as const;
}
