import type { Row } from "@arbutusdoor/clients";
import type { HostId } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import { ROW_KEYS } from "../rows/rowKeys.js";
import type { HostState } from "../state/hostState.js";

/** Sends a peer all known rows. */
export function sendRows(state: HostState, to: HostId): Step {
    const rows: Row[] = [
        ...Object.values(state.servers).map(({ version, value }) => ({
            key: ROW_KEYS.server(value.server),
            version,
            value,
        })),
        ...Object.values(state.assignments).map(({ version, value }) => ({
            key: ROW_KEYS.assignment(value.service, value.shard),
            version,
            value,
        })),
    ];
    return {
        state,
        effects: rows.length === 0 ? [] : [{ kind: "sendPeer", to, message: { kind: "rows", rows } }],
    };
}
