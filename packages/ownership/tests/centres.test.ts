import { expect, test } from "vitest";
import { attest } from "./simulation/attest.js";
import { disrupt } from "./simulation/disrupt.js";
import { drain } from "./simulation/drain.js";
import { findViolations } from "./simulation/findViolations.js";
import { getEvidence } from "./simulation/getEvidence.js";
import { printSimulation } from "./simulation/printSimulation.js";
import { SETUPS } from "./simulation/setups.js";
import type { Simulation } from "./simulation/simulation.js";
import { startSimulation } from "./simulation/startSimulation.js";
import { testSimulation } from "./simulation/testSimulation.js";

const { oneCentre, twoCentres } = SETUPS;

testSimulation(
    "centreCut",
    "Data centre cut from the platform, then from the other, then healed",
    twoCentres,
    simulation => {
        const south = simulation.nodesOf("south");
        disrupt(
            simulation,
            "south is cut from the table service",
            () => simulation.network.cut("platform", south, ["table"]),
        );
        disrupt(simulation, "sb1 is killed", () => simulation.server("sb1").kill(), 2000);
        disrupt(
            simulation,
            "south is cut from north",
            () => simulation.network.cut("centres", south, simulation.nodesOf("north")),
        );
        disrupt(simulation, "nb1 is killed", () => simulation.server("nb1").kill(), 2000);
        disrupt(simulation, "south reaches north again", () => simulation.network.heal("centres"));
        disrupt(
            simulation,
            "south reaches the table service again",
            () => simulation.network.heal("platform"),
        );
    },
);

testSimulation("centreLost", "Data centre lost, attested by an operator", twoCentres, simulation => {
    disrupt(simulation, "all of south is lost", () => {
        simulation.nodesOf("south").forEach(name =>
            (simulation.hosts.get(name) ?? simulation.server(name)).kill()
        );
    });
    disrupt(
        simulation,
        "an operator attests the loss of south",
        () => attest(simulation, { kind: "dataCentre", dataCentre: "south" }),
        8000,
    );
});

testSimulation("twoDeciders", "Two deciders at once", oneCentre, simulation => {
    const coordinator = simulation.coordinator("north")!;
    const others = [...simulation.hosts.keys()].filter(name => name !== coordinator.name);
    disrupt(
        simulation,
        `the decider ${coordinator.name} is cut from its peers but not from the table service`,
        () => simulation.network.cut("peers", [coordinator.name], others),
        600,
    );
    simulation.note("another host believes that it is the decider too");
    const rival = simulation.host(others[0]!);
    rival.fault = ({ after: { state, effects } }) => ({
        state: { ...state, coordinator: { ...state.coordinator, isHeld: true } },
        effects,
    });
    simulation.run(100);
    disrupt(simulation, "b1 is drained", () => drain(simulation, "b1"));
    rival.fault = undefined;
    disrupt(simulation, "the cut is healed", () => simulation.network.heal("peers"));
});

const STEPS = ["planned", "moving", "fenced", "held", "granted"] as const;

/** Kills the coordinator as soon as a drain of b1 has reached a step. */
function killCoordinatorAt(step: typeof STEPS[number]): Simulation {
    const simulation = startSimulation(oneCentre);
    const coordinator = simulation.coordinator("north")!;
    const before = simulation.table.journal.length;
    const rows = () =>
        simulation.table.journal.slice(before)
            .filter(commit => commit.row.key.startsWith("assignment/"))
            .map(commit => commit.row.value as { slices: { former: unknown[]; }[]; });
    const start = simulation.journal.length;
    const saw = (kind: "takes" | "drops") =>
        simulation.journal.slice(start).some(({ event }) => event.kind === kind);
    const reached = {
        planned: () => Object.keys(coordinator.state.table.transactions).length > 0,
        moving: () => rows().some(row => row.slices.some(slice => slice.former.length > 0)),
        fenced: () => saw("drops"),
        held: () => rows().some(row => row.slices.every(slice => slice.former.length === 0)),
        granted: () => saw("takes"),
    };
    drain(simulation, "b1");
    simulation.runUntil(reached[step]);
    disrupt(
        simulation,
        `the decider ${coordinator.name} is killed when the move is ${step}`,
        () => coordinator.kill(),
        5000,
    );
    return simulation;
}

test("Coordinator killed at each step of a move", async () => {
    const simulations = STEPS.map(killCoordinatorAt);
    const text = simulations.map((simulation, index) =>
        printSimulation(simulation, `Killed when ${STEPS[index]}`)
    )
        .join(
            "\n",
        );
    await expect(text).toMatchFileSnapshot("./golden/deciderKilledMidMove.txt");
    expect(simulations.flatMap(simulation => findViolations(getEvidence(simulation)))).toEqual([]);
});
