import { countRequest } from "../grantor/countRequest.js";
import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** A request that this host sent to a server as its grantor has started. */
export class RequestStartedAction extends Action<"requestStarted"> {
    readonly name = "requestStarted";

    perform(state: HostState, input: Extract<Input, { kind: "requestStarted"; }>): Step {
        return { state: countRequest(state, input.server, input.service, input.slice, 1), effects: [] };
    }
}

actionRegistry.register(new RequestStartedAction());
