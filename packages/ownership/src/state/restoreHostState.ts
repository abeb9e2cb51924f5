import { InputError } from "@arbutusdoor/common";
import { createHostState } from "./createHostState.js";
import type { HostState } from "./hostState.js";

/**
 * Restores a state that was written as JSON, for inspection. A daemon never starts from one: its support and its confirmations of
 * revocations ended with its process. Throws InputError if the text is not such a state.
 */
export function restoreHostState(json: string): HostState {
    const value = JSON.parse(json) as HostState;
    const empty = createHostState(value.self, value.settings);
    const missing = Object.keys(empty).filter(name => name !== "configuration" && !(name in value));
    if (missing.length > 0) {
        throw new InputError(`the snapshot has no ${missing.join(", ")}`);
    }
    return { ...empty, ...value };
}
