import type { Milliseconds, OperationId } from "@arbutusdoor/common";
import { sequence } from "../kernel/sequence.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { endRead } from "./endRead.js";
import { endTransaction } from "./endTransaction.js";

/** Gives up table calls that had no result in time; a transaction's outcome is then unknown. */
export function expireCalls(state: HostState, now: Milliseconds): Step {
    const { transactions, reads } = state.table;
    const deadline = now - state.settings.tableTimeoutMs;
    const late = Object.entries(transactions).filter(([, { sentAt }]) => sentAt <= deadline);
    const lateReads = Object.entries(reads).filter(([, { sentAt }]) => sentAt <= deadline);
    return sequence(
        state,
        ...late.map(([id]) => (current: HostState) =>
            endTransaction(current, id as OperationId, { kind: "unknown", reason: "no answer in time" }, now)
        ),
        ...lateReads.map(([tag]) => (current: HostState) =>
            endRead(current, tag, { kind: "unavailable", reason: "no answer in time" }, now)
        ),
    );
}
