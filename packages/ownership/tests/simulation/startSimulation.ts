import { Simulation } from "./simulation.js";
import type { SimulationSetup } from "./simulationSetup.js";

/** Starts a simulation and runs it for 3 s, until after its initial assignment. */
export function startSimulation(setup: SimulationSetup): Simulation {
    const simulation = new Simulation(setup);
    simulation.run(3000);
    simulation.note("the session begins");
    return simulation;
}
