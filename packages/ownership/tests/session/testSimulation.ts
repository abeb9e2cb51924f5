import { expect, test } from "vitest";
import { findViolations } from "./findViolations.js";
import { getEvidence } from "./getEvidence.js";
import { printSimulation } from "./printSimulation.js";
import { Simulation } from "./simulation.js";
import type { SimulationSetup } from "./simulationSetup.js";
import { startSimulation } from "./startSimulation.js";

/** Plays a session, compares its whole account with the golden file, and demands that no promise was broken. */
export function testSimulation(
    name: string,
    title: string,
    cast: SimulationSetup,
    play: (session: Simulation) => void,
): void {
    test(title, async () => {
        const session = startSimulation(cast);
        play(session);
        session.run(1500);
        await expect(printSimulation(session, title)).toMatchFileSnapshot(`./golden/${name}.txt`);
        expect(findViolations(getEvidence(session))).toEqual([]);
        expect(
            session.callers.log.filter(entry =>
                entry.sentAt < session.clock.now() - 1100 && entry.outcome === "waiting"
            ),
        )
            .toEqual([]);
    });
}
