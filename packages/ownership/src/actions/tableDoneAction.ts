import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { endTransaction } from "../table/endTransaction.js";

/** A transaction ended. */
export class TableDoneAction extends Action<"tableDone"> {
    readonly name = "tableDone";

    perform(state: HostState, input: Extract<Input, { kind: "tableDone"; }>, now: Milliseconds): Step {
        return endTransaction(state, input.operationId, input.outcome, now);
    }
}

actionRegistry.register(new TableDoneAction());
