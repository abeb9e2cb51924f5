import type { Milliseconds, RowKey } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Begins a read of rows by key or by prefix. */
export function startRead(
    state: HostState,
    what: { readonly keys: readonly RowKey[]; } | { readonly prefix: string; },
    now: Milliseconds,
): Step {
    const counter = state.counter + 1;
    const tag = `${state.self.incarnation}-read-${counter}`;
    const reads = { ...state.table.reads, [tag]: { sentAt: now, count: counter, ...what } };
    return {
        state: { ...state, counter, table: { ...state.table, reads } },
        effects: [{ kind: "readRows", tag, ...what }],
    };
}
