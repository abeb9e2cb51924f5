import { expect, test } from "vitest";
import { attest } from "./session/attest.js";
import { CASTS } from "./session/casts.js";
import { drain } from "./session/drain.js";
import { expectSession } from "./session/expectSession.js";
import { getEvidence } from "./session/getEvidence.js";
import { lose } from "./session/lose.js";
import { observe } from "./session/observe.js";
import { printSession } from "./session/printSession.js";
import type { Session } from "./session/session.js";
import { startSession } from "./session/startSession.js";

const { oneCentre, twoCentres } = CASTS;

expectSession(
    "centreCut",
    "Data centre cut from the platform, then from the other, then healed",
    twoCentres,
    session => {
        const south = session.nodesOf("south");
        lose(
            session,
            "south is cut from the table service",
            () => session.network.cut("platform", south, ["table"]),
        );
        lose(session, "sb1 is killed", () => session.server("sb1").kill(), 2000);
        lose(
            session,
            "south is cut from north",
            () => session.network.cut("centres", south, session.nodesOf("north")),
        );
        lose(session, "nb1 is killed", () => session.server("nb1").kill(), 2000);
        lose(session, "south reaches north again", () => session.network.heal("centres"));
        lose(session, "south reaches the table service again", () => session.network.heal("platform"));
    },
);

expectSession("centreLost", "Data centre lost, attested by an operator", twoCentres, session => {
    lose(session, "all of south is lost", () => {
        session.nodesOf("south").forEach(name => (session.hosts.get(name) ?? session.server(name)).kill());
    });
    lose(
        session,
        "an operator attests the loss of south",
        () => attest(session, { kind: "dataCentre", dataCentre: "south" }),
        8000,
    );
});

expectSession("twoDeciders", "Two deciders at once", oneCentre, session => {
    const decider = session.decider("north")!;
    const others = [...session.hosts.keys()].filter(name => name !== decider.name);
    lose(
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
    lose(session, "b1 is drained", () => drain(session, "b1"));
    rival.fault = undefined;
    lose(session, "the cut is healed", () => session.network.heal("peers"));
});

const STEPS = ["planned", "moving", "fenced", "held", "granted"] as const;

/** Kills the decider as soon as a drain of b1 has come to a step. */
function killDeciderAt(step: typeof STEPS[number]): Session {
    const session = startSession(oneCentre);
    const decider = session.decider("north")!;
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
    lose(
        session,
        `the decider ${decider.name} is killed when the move is ${step}`,
        () => decider.kill(),
        5000,
    );
    return session;
}

test("Decider killed at each step of a move", async () => {
    const sessions = STEPS.map(killDeciderAt);
    const text = sessions.map((session, index) => printSession(session, `Killed when ${STEPS[index]}`)).join(
        "\n",
    );
    await expect(text).toMatchFileSnapshot("./golden/deciderKilledMidMove.txt");
    expect(sessions.flatMap(session => observe(getEvidence(session)))).toEqual([]);
});
