import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { endRead } from "../table/endRead.js";

/** A read of the table service ended. */
export class TableReadAction extends Action<"tableRead"> {
    readonly name = "tableRead";

    perform(state: HostState, input: Extract<Input, { kind: "tableRead"; }>, now: Milliseconds): Step {
        return endRead(state, input.tag, input.outcome, now);
    }
}

actionRegistry.register(new TableReadAction());
