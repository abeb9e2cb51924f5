import type { TableRead } from "@arbutusdoor/clients";
import type { Milliseconds } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { adoptRows } from "./adoptRows.js";
import { dropWithdrawnAttestations } from "./dropWithdrawnAttestations.js";
import { recordTableFailure } from "./recordTableFailure.js";
import { recordTableSuccess } from "./recordTableSuccess.js";
import { shareRows } from "./shareRows.js";

/**
 * Handles the result of a read. A result that arrives after the read was given up still adds its rows, but does not count as a fresh read.
 */
export function endRead(state: HostState, tag: string, outcome: TableRead, now: Milliseconds): Step {
    const { [tag]: read, ...reads } = state.table.reads;
    const isNewest = read?.prefix !== undefined && read.count > (state.table.scanned[read.prefix] ?? 0);
    const closed = { ...state, table: { ...state.table, reads } };
    if (outcome.kind === "unavailable") {
        return recordTableFailure(closed, outcome.reason, now);
    }
    return sequence(
        closed,
        recordTableSuccess,
        current => ({
            state: isNewest && read.prefix === ROW_KEYS.attestedPrefix
                ? dropWithdrawnAttestations(current, outcome.rows)
                : current,
            effects: [],
        }),
        current =>
            state.coordinator.isHeld || read?.keys
                ? shareRows(current, outcome.rows, now)
                : adoptRows(current, outcome.rows, now),
        current => ({
            state: read ? recordFreshness(current, read, outcome.rows.length, now) : current,
            effects: [],
        }),
    );
}

type Read = HostState["table"]["reads"][string];

function recordFreshness(state: HostState, read: Read, rowCount: number, now: Milliseconds): HostState {
    const { table } = state;
    if (read.prefix !== undefined) {
        const count = Math.max(table.scanned[read.prefix] ?? 0, read.count);
        return {
            ...state,
            isPlanDue: true,
            table: { ...table, scanned: { ...table.scanned, [read.prefix]: count } },
        };
    }
    const uncertain = table.uncertain.filter(key => !read.keys?.includes(key));
    const isCoordinator = read.keys?.includes(ROW_KEYS.decider(state.self.dataCentre)) && rowCount > 0;
    const coordinator = isCoordinator ? { ...state.coordinator, checkedAt: now } : state.coordinator;
    return { ...state, coordinator, isPlanDue: true, table: { ...table, uncertain } };
}
