import type { Milliseconds } from "@arbutusdoor/common";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";
import { expireCalls } from "../table/expireCalls.js";

type Tick = Extract<Input, { kind: "tick"; }>;

/** Time has passed: gives up table calls without a result; everything else follows from the state. */
export class TickAction extends Action<"tick"> {
    readonly name = "tick";

    perform(...[state, , now]: [state: HostState, input: Tick, now: Milliseconds]): Step {
        return expireCalls(state, now);
    }
}

actionRegistry.register(new TickAction());
