import { addRequestedChange } from "../coordinator/addRequestedChange.js";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** Policy requests a move. */
export class MoveWantedAction extends Action<"moveWanted"> {
    readonly name = "moveWanted";

    perform(state: HostState, input: Extract<Input, { kind: "moveWanted"; }>): Step {
        const { service, slice, to } = input;
        return { state: addRequestedChange(state, { kind: "move", service, slice, to }), effects: [] };
    }
}

actionRegistry.register(new MoveWantedAction());
