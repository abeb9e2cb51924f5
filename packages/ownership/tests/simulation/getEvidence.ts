import type { Simulation } from "./simulation.js";

/** Everything that `findViolations` may check of a simulation. */
export function getEvidence(simulation: Simulation) {
    return {
        journal: simulation.journal,
        callers: simulation.callers.log,
        commits: simulation.table.journal,
    };
}
