import type { RowWrite } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId } from "@arbutusdoor/common";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Begins a transaction whose rows carry its operation id. The caller has checked `canWrite` before. */
export function startTransaction(state: HostState, writes: readonly RowWrite[], now: Milliseconds): Step {
    const counter = state.counter + 1;
    const operationId = `${state.self.incarnation}-${counter}` as OperationId;
    const transaction = {
        operationId,
        writes: writes.map(write => ({ ...write, value: { ...write.value as object, operationId } })),
    };
    const transactions = { ...state.table.transactions, [operationId]: { transaction, sentAt: now } };
    return {
        state: { ...state, counter, table: { ...state.table, transactions } },
        effects: [{ kind: "transact", transaction }],
    };
}
