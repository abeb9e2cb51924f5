import { expect, test } from "vitest";
import { findViolations } from "./findViolations.js";
import { getEvidence } from "./getEvidence.js";
import { printSimulation } from "./printSimulation.js";
import { Simulation } from "./simulation.js";
import type { SimulationSetup } from "./simulationSetup.js";
import { startSimulation } from "./startSimulation.js";

/** Defines a test that runs a simulation, compares its report with the golden file, and expects no violation. */
export function testSimulation(
    name: string,
    title: string,
    setup: SimulationSetup,
    disturb: (simulation: Simulation) => void,
): void {
    test(title, async () => {
        const simulation = startSimulation(setup);
        disturb(simulation);
        simulation.run(1500);
        await expect(printSimulation(simulation, title)).toMatchFileSnapshot(`./golden/${name}.txt`);
        expect(findViolations(getEvidence(simulation))).toEqual([]);
        expect(
            simulation.callers.log.filter(entry =>
                entry.sentAt < simulation.clock.now() - 1100 && entry.outcome === "waiting"
            ),
        )
            .toEqual([]);
    });
}
