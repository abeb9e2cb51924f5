import type { Input } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { disrupt } from "./simulation/disrupt.js";
import { drain } from "./simulation/drain.js";
import { findViolations } from "./simulation/findViolations.js";
import { getEvidence } from "./simulation/getEvidence.js";
import { printSimulation } from "./simulation/printSimulation.js";
import { SETUPS } from "./simulation/setups.js";
import type { Simulation } from "./simulation/simulation.js";
import { startSimulation } from "./simulation/startSimulation.js";
import { testSimulation } from "./simulation/testSimulation.js";

const { oneCentre } = SETUPS;
const uncheckedSetup = { ...oneCentre, checksOrders: false };

function ask(simulation: Simulation, input: object): void {
    simulation.coordinator("north")!.handle(input as Input);
}

testSimulation("policyMoves", "Planned move and split that policy asks for", oneCentre, simulation => {
    disrupt(
        simulation,
        "range-0 is to move to b4",
        () => ask(simulation, { kind: "moveWanted", service: "board", slice: "range-0", to: "b4" }),
    );
    disrupt(simulation, "key-3 is to get a slice of its own", () => {
        const slices = simulation.coordinator("north")!.state.slices["board" as never]!.byName;
        Object.keys(slices).forEach(slice =>
            ask(simulation, { kind: "splitWanted", service: "board", slice, key: "key-3" })
        );
    });
});

testSimulation(
    "routeDeclared",
    "Route that is declared, and the loss and return of its server",
    oneCentre,
    simulation => {
        disrupt(simulation, "key-5 is tied to b2", () =>
            simulation.declare(declaration => ({
                ...declaration,
                services: declaration.services.map(service => ({
                    ...service,
                    routes: [{ key: "key-5", server: "b2" }],
                })),
            })));
        disrupt(simulation, "b2 is killed", () => simulation.server("b2").kill());
        disrupt(simulation, "b2 is back", () => simulation.server("b2").restart());
    },
);

testSimulation(
    "serverRemoved",
    "Server that is no longer declared, and another that is new",
    { ...oneCentre, work: 60 },
    simulation => {
        disrupt(simulation, "b1 is taken out of the declaration", () =>
            simulation.declare(declaration => ({
                ...declaration,
                servers: declaration.servers.filter(server => server.name !== "b1"),
            })));
    },
);

testSimulation(
    "patience",
    "Service whose keys wait 2 s for their server",
    { ...oneCentre, objective: { patienceMs: 2000 } },
    simulation => {
        disrupt(simulation, "b1 freezes for a second", () => simulation.server("b1").freeze(false), 1000);
        disrupt(simulation, "b1 wakes", () => simulation.server("b1").thaw(), 2000);
        disrupt(simulation, "b1 is killed", () => simulation.server("b1").kill(), 5000);
    },
);

testSimulation(
    "acknowledged",
    "Service whose keys move only by the server's word or an operator's",
    { ...oneCentre, objective: { takeover: "acknowledged" } },
    simulation => {
        disrupt(simulation, "b1 is killed", () => simulation.server("b1").kill(), 5000);
        disrupt(simulation, "b1 is started again", () => simulation.server("b1").restart());
        disrupt(simulation, "b1 is drained", () => drain(simulation, "b1"));
    },
);

testSimulation(
    "uncheckedMove",
    "Servers that check no orders: drain and loss",
    { ...uncheckedSetup, work: 60 },
    simulation => {
        disrupt(simulation, "b1 is drained", () => drain(simulation, "b1"));
        disrupt(simulation, "b2 is killed", () => simulation.server("b2").kill());
    },
);

testSimulation(
    "uncheckedPause",
    "Server that checks no orders, and one of its grantors paused",
    uncheckedSetup,
    simulation => {
        const grantor = [...simulation.hosts.values()].find(host =>
            Object.hasOwn(host.state.grants, "b1") && !host.state.coordinator.isHeld
        )!;
        disrupt(simulation, `${grantor.name} is paused`, () => grantor.pause(), 1500);
        disrupt(
            simulation,
            "b1 is drained: the move waits for the word of each grantor",
            () => drain(simulation, "b1"),
            2000,
        );
        disrupt(simulation, `${grantor.name} wakes`, () => grantor.resume(), 3000);
    },
);

test("Limit: a server whose clock stood still while it was frozen goes on holding its slices, and its grantors send it nothing", async () => {
    const simulation = startSimulation(oneCentre);
    disrupt(
        simulation,
        "b1 freezes, and its clock with it",
        () => simulation.server("b1").freeze(true),
        2000,
    );
    disrupt(simulation, "b1 wakes", () => simulation.server("b1").thaw(), 2000);
    await expect(printSimulation(simulation, "Server whose clock stood still")).toMatchFileSnapshot(
        "./golden/clockStoodStill.txt",
    );
    const takenAt = simulation.journal.find(({ time, event }) => time > 3000 && event.kind === "takes")!.time;
    const sentLater = simulation.journal.filter(({ server, event }) =>
        server === "b1" && event.kind === "starts" && event.sentAt >= takenAt
    );
    expect(sentLater).toEqual([]);
    const others = findViolations(getEvidence(simulation)).filter(({ text }) =>
        !/is owned by b1#1 and|runs on b1#1 under an old generation/.test(text)
    );
    expect(others).toEqual([]);
});
