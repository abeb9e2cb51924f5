import type { Row } from "@arbutusdoor/clients";
import type { Milliseconds, ServerId } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";
import { adoptRows } from "./adoptRows.js";
import { announceRows } from "./announceRows.js";

/** Adds committed rows to the state and sends peers those that were new here: their writer may have ended before it could announce them. */
export function shareRows(state: HostState, rows: readonly Row[], now: Milliseconds): Step {
    const fresh = rows.filter(row => row.version > getKnownVersion(state, row));
    return sequence(
        state,
        current => adoptRows(current, rows, now),
        current => announceRows(current, fresh),
    );
}

function getKnownVersion(state: HostState, row: Row): number {
    const name = row.key.startsWith(ROW_KEYS.serverPrefix) ? row.key.slice(ROW_KEYS.serverPrefix.length) : "";
    const server = state.servers[name as ServerId];
    return server?.version ?? state.assignments[row.key]?.version ?? 0;
}
