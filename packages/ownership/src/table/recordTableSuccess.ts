import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Records that a table call had a result; this ends a back-off. */
export function recordTableSuccess(state: HostState): Step {
    if (state.table.failures === 0) {
        return { state, effects: [] };
    }
    return {
        state: { ...state, table: { ...state.table, failures: 0, backoffUntil: 0 } },
        effects: [{ kind: "log", event: "tableRecovered", fields: {} }],
    };
}
