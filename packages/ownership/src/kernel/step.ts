import type { HostState } from "../state/hostState.js";
import type { Effect } from "./effect.js";

/** Result of one decision: the state after it, and what the driver is to do. */
export type Step = {
    readonly state: HostState;
    readonly effects: readonly Effect[];
};
