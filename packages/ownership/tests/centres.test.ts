import { expect, test } from "vitest";
import { attest } from "./session/attest.js";
import { disrupt } from "./session/disrupt.js";
import { drain } from "./session/drain.js";
import { findViolations } from "./session/findViolations.js";
import { getEvidence } from "./session/getEvidence.js";
import { printSimulation } from "./session/printSimulation.js";
import { SETUPS } from "./session/setups.js";
import type { Simulation } from "./session/simulation.js";
import { startSimulation } from "./session/startSimulation.js";
import { testSimulation } from "./session/testSimulation.js";

const { oneCentre, twoCentres } = SETUPS;

testSimulation(
    "centreCut",
    "Data centre cut from the platform, then from the other, then healed",
    twoCentres,
    session => {
        const south = session.nodesOf("south");
        disrupt(
            session,
            "south is cut from the table service",
            () => session.network.cut("platform", south, ["table"]),
        );
        disrupt(session, "sb1 is killed", () => session.server("sb1").kill(), 2000);
        disrupt(
            session,
            "south is cut from north",
            () => session.network.cut("centres", south, session.nodesOf("north")),
        );
        disrupt(session, "nb1 is killed", () => session.server("nb1").kill(), 2000);
        disrupt(session, "south reaches north again", () => session.network.heal("centres"));
        disrupt(session, "south reaches the table service again", () => session.network.heal("platform"));
    },
);

testSimulation("centreLost", "Data centre lost, attested by an operator", twoCentres, session => {
    disrupt(session, "all of south is lost", () => {
        session.nodesOf("south").forEach(name => (session.hosts.get(name) ?? session.server(name)).kill());
    });
    disrupt(
        session,
        "an operator attests the loss of south",
        () => attest(session, { kind: "dataCentre", dataCentre: "south" }),
        8000,
    );
});

testSimulation("twoDeciders", "Two deciders at once", oneCentre, session => {
    const decider = session.coordinator("north")!;
    const others = [...session.hosts.keys()].filter(name => name !== decider.name);
    disrupt(
        session,
        `the decider ${decider.name} is cut from its peers but not from the table service`,
        () => session.network.cut("peers", [decider.name], others),
        600,
    );
    session.note("another host believes that it is the decider too");
    const rival = session.host(others[0]!);
    rival.fault = ({ after: { state, effects } }) => ({
        state: { ...state, coordinator: { ...state.coordinator, isHeld: true } },
        effects,
    });
    session.run(100);
    disrupt(session, "b1 is drained", () => drain(session, "b1"));
    rival.fault = undefined;
    disrupt(session, "the cut is healed", () => session.network.heal("peers"));
});

const STEPS = ["planned", "moving", "fenced", "held", "granted"] as const;

/** Kills the decider as soon as a drain of b1 has come to a step. */
function killDeciderAt(step: typeof STEPS[number]): Simulation {
    const session = startSimulation(oneCentre);
    const decider = session.coordinator("north")!;
    const before = session.table.journal.length;
    const rows = () =>
        session.table.journal.slice(before)
            .filter(commit => commit.row.key.startsWith("assignment/"))
            .map(commit => commit.row.value as { slices: { former: unknown[]; }[]; });
    const start = session.journal.length;
    const saw = (kind: "takes" | "drops") =>
        session.journal.slice(start).some(({ event }) => event.kind === kind);
    const reached = {
        planned: () => Object.keys(decider.state.table.transactions).length > 0,
        moving: () => rows().some(row => row.slices.some(slice => slice.former.length > 0)),
        fenced: () => saw("drops"),
        held: () => rows().some(row => row.slices.every(slice => slice.former.length === 0)),
        granted: () => saw("takes"),
    };
    drain(session, "b1");
    session.runUntil(reached[step]);
    disrupt(
        session,
        `the decider ${decider.name} is killed when the move is ${step}`,
        () => decider.kill(),
        5000,
    );
    return session;
}

test("Decider killed at each step of a move", async () => {
    const sessions = STEPS.map(killDeciderAt);
    const text = sessions.map((session, index) => printSimulation(session, `Killed when ${STEPS[index]}`))
        .join(
            "\n",
        );
    await expect(text).toMatchFileSnapshot("./golden/deciderKilledMidMove.txt");
    expect(sessions.flatMap(session => findViolations(getEvidence(session)))).toEqual([]);
});
