import { InvariantError, type Milliseconds } from "@arbutusdoor/common";
import "../actions/index.js";
import type { HostState } from "../state/hostState.js";
import { actionManager } from "./actionManager.js";
import type { Input } from "./input.js";
import { sequence } from "./sequence.js";
import { settle } from "./settle.js";
import type { Step } from "./step.js";

/**
 * The kernel: decides upon one input. Pure and synchronous.
 * @param now the host's own monotonic time
 */
export function dispatch(state: HostState, input: Input, now: Milliseconds): Step {
    const action = actionManager.get(input.kind);
    if (!action) {
        throw new InvariantError(`no action for input "${input.kind}"`);
    }
    const begun = { ...state, counter: state.counter + 1, updatedAt: now };
    return sequence(
        begun,
        current => action.perform(current, input, now),
        current => settle(current, now, input.kind === "tick"),
    );
}
