import { getAttestationKey, type Loss } from "@arbutusdoor/configuration";
import type { Simulation } from "./simulation.js";

/** Records a loss as an operator's tool does. */
export function attest(session: Simulation, loss: Loss): void {
    const value = {
        ...loss,
        by: "operator",
        attestedAt: session.clock.now(),
        operationId: `attest-${session.clock.now()}`,
    };
    session.table.put(getAttestationKey(loss), value);
}
