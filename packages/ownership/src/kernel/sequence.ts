import type { HostState } from "../state/hostState.js";
import type { Effect } from "./effect.js";
import type { Step } from "./step.js";

/** Runs decisions in order, each on the state that the one before returned, and collects their effects. */
export function sequence(state: HostState, ...decisions: readonly ((state: HostState) => Step)[]): Step {
    let current = state;
    const effects: Effect[] = [];
    for (const decide of decisions) {
        const step = decide(current);
        current = step.state;
        effects.push(...step.effects);
    }
    return { state: current, effects };
}
