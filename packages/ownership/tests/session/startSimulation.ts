import { Simulation } from "./simulation.js";
import type { SimulationSetup } from "./simulationSetup.js";

/** A session after its first assignment, 3 s from the start. */
export function startSimulation(cast: SimulationSetup): Simulation {
    const session = new Simulation(cast);
    session.run(3000);
    session.note("the session begins");
    return session;
}
