import { getAttestationKey, type Loss } from "@arbutusdoor/configuration";
import type { Simulation } from "./simulation.js";

/** Writes an attestation of a loss as an operator's tool does. */
export function attest(simulation: Simulation, loss: Loss): void {
    const value = {
        ...loss,
        by: "operator",
        attestedAt: simulation.clock.now(),
        operationId: `attest-${simulation.clock.now()}`,
    };
    simulation.table.put(getAttestationKey(loss), value);
}
