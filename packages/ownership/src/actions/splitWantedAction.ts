import { addRequestedChange } from "../coordinator/addRequestedChange.js";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Policy requests a split. */
export class SplitWantedAction extends Action<"splitWanted"> {
    readonly name = "splitWanted";

    perform(state: HostState, input: Extract<Input, { kind: "splitWanted"; }>): Step {
        const { service, slice, key } = input;
        return { state: addRequestedChange(state, { kind: "split", service, slice, key }), effects: [] };
    }
}

actionRegistry.register(new SplitWantedAction());
