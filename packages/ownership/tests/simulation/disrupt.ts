import type { Simulation } from "./simulation.js";

/** Disrupts a simulation, continues it, and notes how long it took until everything was served again. */
export function disrupt(simulation: Simulation, text: string, action: () => void, wait = 3000): void {
    simulation.note(text);
    const since = simulation.clock.now();
    action();
    simulation.run(wait);
    simulation.noteRecovery(since);
}
