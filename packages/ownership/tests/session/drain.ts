import type { Simulation } from "./simulation.js";

/** Declares one server draining. */
export function drain(session: Simulation, server: string): void {
    session.declare(declaration => ({
        ...declaration,
        servers: declaration.servers.map(other => ({ ...other, isDraining: other.name === server })),
    }));
}
