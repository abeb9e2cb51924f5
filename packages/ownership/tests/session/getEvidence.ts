import type { Simulation } from "./simulation.js";

/** Everything that the observer may see of a session. */
export function getEvidence(session: Simulation) {
    return { journal: session.journal, callers: session.callers.log, commits: session.table.journal };
}
