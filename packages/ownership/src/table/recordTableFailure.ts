import type { Milliseconds } from "@arbutusdoor/common";
import { getJitter } from "../kernel/getJitter.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

const MAX_DOUBLINGS = 16;

/** Records a table call without a result and backs off: the wait doubles with each failure, up to a limit, with jitter. */
export function recordTableFailure(state: HostState, reason: string, now: Milliseconds): Step {
    const { tableBackoffMinMs, tableBackoffMaxMs } = state.settings;
    const failures = state.table.failures + 1;
    const doubled = tableBackoffMinMs * 2 ** Math.min(failures - 1, MAX_DOUBLINGS);
    const wait = Math.min(tableBackoffMaxMs, doubled) * (0.5 + getJitter(state, "backoff") / 2);
    const backoffUntil = Math.max(state.table.backoffUntil, now + wait);
    const isFirst = state.table.failures === 0;
    return {
        state: { ...state, table: { ...state.table, failures, backoffUntil } },
        effects: isFirst ? [{ kind: "log", event: "tableUnavailable", fields: { reason } }] : [],
    };
}
