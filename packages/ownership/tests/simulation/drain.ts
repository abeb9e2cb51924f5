import type { Simulation } from "./simulation.js";

/** Declares one server draining. */
export function drain(simulation: Simulation, server: string): void {
    simulation.declare(declaration => ({
        ...declaration,
        servers: declaration.servers.map(other => ({ ...other, isDraining: other.name === server })),
    }));
}
