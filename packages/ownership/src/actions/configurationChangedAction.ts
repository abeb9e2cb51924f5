import { Action } from "../kernel/action.js";
import { actionRegistry } from "../kernel/actionRegistry.js";
import type { Input } from "../kernel/input.js";
import type { Step } from "../kernel/step.js";
import type { HostState } from "../state/hostState.js";

/** A configuration version is in force; a lower one than before changes nothing. */
export class ConfigurationChangedAction extends Action<"configurationChanged"> {
    readonly name = "configurationChanged";

    perform(state: HostState, input: Extract<Input, { kind: "configurationChanged"; }>): Step {
        const { version, declaration } = input;
        if (version <= (state.configuration?.version ?? 0)) {
            return { state, effects: [] };
        }
        return { state: { ...state, configuration: { version, declaration }, isPlanDue: true }, effects: [] };
    }
}

actionRegistry.register(new ConfigurationChangedAction());
