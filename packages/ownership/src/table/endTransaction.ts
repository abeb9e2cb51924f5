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
 * Takes the outcome of a transaction. After `unknown` its rows are read back before they are written again:
 * which of the two happened is seen in the rows, never assumed.
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
            return recordTableFailure(releaseRounds(closed, operationId), outcome.reason, now);
        case "unknown":
            return recordTableFailure(running ? doubt(closed, running) : closed, outcome.reason, now);
    }
}

function close(state: HostState, operationId: OperationId): HostState {
    const transactions = omit(state.table.transactions, operationId);
    return { ...state, isPlanDue: true, table: { ...state.table, transactions } };
}

function doubt(state: HostState, running: HostState["table"]["transactions"][OperationId]): HostState {
    const keys = running.transaction.writes.map(write => write.key);
    const uncertain = [...new Set([...state.table.uncertain, ...keys])];
    return { ...state, table: { ...state.table, uncertain } };
}

/** A transaction that never ran takes nothing over: the promises that it went by can be given back. */
function releaseRounds(state: HostState, operationId: OperationId): HostState {
    const release = (round: TakeoverAttempt): TakeoverAttempt => ({
        ...round,
        operations: round.operations.filter(other => other !== operationId),
    });
    const rounds = Object.fromEntries(
        Object.entries(state.coordinator.takeovers).map(([server, round]) => [server, release(round)]),
    );
    return { ...state, coordinator: { ...state.coordinator, takeovers: rounds } };
}
