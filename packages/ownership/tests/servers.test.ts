import type { Input } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { disrupt } from "./session/disrupt.js";
import { drain } from "./session/drain.js";
import { findViolations } from "./session/findViolations.js";
import { getEvidence } from "./session/getEvidence.js";
import { printSimulation } from "./session/printSimulation.js";
import { SETUPS } from "./session/setups.js";
import type { Simulation } from "./session/simulation.js";
import { startSimulation } from "./session/startSimulation.js";
import { testSimulation } from "./session/testSimulation.js";

const { oneCentre } = SETUPS;
const uncheckedCast = { ...oneCentre, checksOrders: false };

function ask(session: Simulation, input: object): void {
    session.coordinator("north")!.handle(input as Input);
}

testSimulation("policyMoves", "Planned move and split that policy asks for", oneCentre, session => {
    disrupt(
        session,
        "range-0 is to move to b4",
        () => ask(session, { kind: "moveWanted", service: "board", slice: "range-0", to: "b4" }),
    );
    disrupt(session, "key-3 is to get a slice of its own", () => {
        const slices = session.coordinator("north")!.state.slices["board" as never]!.byName;
        Object.keys(slices).forEach(slice =>
            ask(session, { kind: "splitWanted", service: "board", slice, key: "key-3" })
        );
    });
});

testSimulation(
    "routeDeclared",
    "Route that is declared, and the loss and return of its server",
    oneCentre,
    session => {
        disrupt(session, "key-5 is tied to b2", () =>
            session.declare(declaration => ({
                ...declaration,
                services: declaration.services.map(service => ({
                    ...service,
                    routes: [{ key: "key-5", server: "b2" }],
                })),
            })));
        disrupt(session, "b2 is killed", () => session.server("b2").kill());
        disrupt(session, "b2 is back", () => session.server("b2").restart());
    },
);

testSimulation(
    "serverRemoved",
    "Server that is no longer declared, and another that is new",
    { ...oneCentre, work: 60 },
    session => {
        disrupt(session, "b1 is taken out of the declaration", () =>
            session.declare(declaration => ({
                ...declaration,
                servers: declaration.servers.filter(server => server.name !== "b1"),
            })));
    },
);

testSimulation(
    "patience",
    "Service whose keys wait 2 s for their server",
    { ...oneCentre, objective: { patienceMs: 2000 } },
    session => {
        disrupt(session, "b1 freezes for a second", () => session.server("b1").freeze(false), 1000);
        disrupt(session, "b1 wakes", () => session.server("b1").thaw(), 2000);
        disrupt(session, "b1 is killed", () => session.server("b1").kill(), 5000);
    },
);

testSimulation(
    "acknowledged",
    "Service whose keys move only by the server's word or an operator's",
    { ...oneCentre, objective: { takeover: "acknowledged" } },
    session => {
        disrupt(session, "b1 is killed", () => session.server("b1").kill(), 5000);
        disrupt(session, "b1 is started again", () => session.server("b1").restart());
        disrupt(session, "b1 is drained", () => drain(session, "b1"));
    },
);

testSimulation(
    "uncheckedMove",
    "Servers that check no orders: drain and loss",
    { ...uncheckedCast, work: 60 },
    session => {
        disrupt(session, "b1 is drained", () => drain(session, "b1"));
        disrupt(session, "b2 is killed", () => session.server("b2").kill());
    },
);

testSimulation(
    "uncheckedPause",
    "Server that checks no orders, and one of its grantors paused",
    uncheckedCast,
    session => {
        const grantor = [...session.hosts.values()].find(host =>
            Object.hasOwn(host.state.grants, "b1") && !host.state.coordinator.isHeld
        )!;
        disrupt(session, `${grantor.name} is paused`, () => grantor.pause(), 1500);
        disrupt(
            session,
            "b1 is drained: the move waits for the word of each grantor",
            () => drain(session, "b1"),
            2000,
        );
        disrupt(session, `${grantor.name} wakes`, () => grantor.resume(), 3000);
    },
);

test("Limit: a server whose clock stood still while it was frozen believes on, and its grantors send it nothing", async () => {
    const session = startSimulation(oneCentre);
    disrupt(session, "b1 freezes, and its clock with it", () => session.server("b1").freeze(true), 2000);
    disrupt(session, "b1 wakes", () => session.server("b1").thaw(), 2000);
    await expect(printSimulation(session, "Server whose clock stood still")).toMatchFileSnapshot(
        "./golden/clockStoodStill.txt",
    );
    const takenAt = session.journal.find(({ time, event }) => time > 3000 && event.kind === "takes")!.time;
    const sentLater = session.journal.filter(({ server, event }) =>
        server === "b1" && event.kind === "starts" && event.sentAt >= takenAt
    );
    expect(sentLater).toEqual([]);
    const others = findViolations(getEvidence(session)).filter(({ text }) =>
        !/is owned by b1#1 and|runs on b1#1 under an old generation/.test(text)
    );
    expect(others).toEqual([]);
});
