import type { TableOutcome } from "@arbutusdoor/clients";
import type { Milliseconds, OperationId } from "@arbutusdoor/common";
import { omit } from "../kernel/omit.js";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import type { TakeoverAttempt } from "../state/takeoverAttempt.js";
import { adoptRows } from "./adoptRows.js";
import { announceRows } from "./announceRows.js";
import { recordTableFailure } from "./recordTableFailure.js";
import { recordTableSuccess } from "./recordTableSuccess.js";
import { shareRows } from "./shareRows.js";

/**
 * Handles the outcome of a transaction. After `unknown` its rows are read back before they are written again: whether it committed is seen
 * in the rows, never assumed.
 */
export function endTransaction(
    state: HostState,
    operationId: OperationId,
    outcome: TableOutcome,
    now: Milliseconds,
): Step {
    const running = state.table.transactions[operationId];
    const closed = running ? close(state, operationId) : state;
    switch (outcome.kind) {
        case "committed":
            return sequence(
                closed,
                recordTableSuccess,
                current => adoptRows(current, outcome.rows, now),
                current => announceRows(current, outcome.rows),
            );
        case "conflict":
            return sequence(closed, recordTableSuccess, current => shareRows(current, outcome.rows, now));
        case "notRun":
            return recordTableFailure(releaseTakeovers(closed, operationId), outcome.reason, now);
        case "unknown":
            return recordTableFailure(running ? markUncertain(closed, running) : closed, outcome.reason, now);
    }
}

function close(state: HostState, operationId: OperationId): HostState {
    const transactions = omit(state.table.transactions, operationId);
    return { ...state, isPlanDue: true, table: { ...state.table, transactions } };
}

function markUncertain(
    state: HostState,
    running: HostState["table"]["transactions"][OperationId],
): HostState {
    const keys = running.transaction.writes.map(write => write.key);
    const uncertain = [...new Set([...state.table.uncertain, ...keys])];
    return { ...state, table: { ...state.table, uncertain } };
}

/** Removes a transaction that never ran from takeover attempts: the revocations that it was based on can be withdrawn. */
function releaseTakeovers(state: HostState, operationId: OperationId): HostState {
    const release = (attempt: TakeoverAttempt): TakeoverAttempt => ({
        ...attempt,
        operations: attempt.operations.filter(other => other !== operationId),
    });
    const takeovers = Object.fromEntries(
        Object.entries(state.coordinator.takeovers).map(([server, attempt]) => [server, release(attempt)]),
    );
    return { ...state, coordinator: { ...state.coordinator, takeovers } };
}
