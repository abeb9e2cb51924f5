import type { Input } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { CASTS } from "./session/casts.js";
import { drain } from "./session/drain.js";
import { expectSession } from "./session/expectSession.js";
import { getEvidence } from "./session/getEvidence.js";
import { lose } from "./session/lose.js";
import { observe } from "./session/observe.js";
import { printSession } from "./session/printSession.js";
import type { Session } from "./session/session.js";
import { startSession } from "./session/startSession.js";

const { oneCentre } = CASTS;
const uncheckedCast = { ...oneCentre, checksOrders: false };

function ask(session: Session, input: object): void {
    session.decider("north")!.take(input as Input);
}

expectSession("policyMoves", "Planned move and split that policy asks for", oneCentre, session => {
    lose(
        session,
        "range-0 is to move to b4",
        () => ask(session, { kind: "moveWanted", service: "board", slice: "range-0", to: "b4" }),
    );
    lose(session, "key-3 is to get a slice of its own", () => {
        const slices = session.decider("north")!.state.slices["board" as never]!.byName;
        Object.keys(slices).forEach(slice =>
            ask(session, { kind: "splitWanted", service: "board", slice, key: "key-3" })
        );
    });
});

expectSession(
    "routeDeclared",
    "Route that is declared, and the loss and return of its server",
    oneCentre,
    session => {
        lose(session, "key-5 is tied to b2", () =>
            session.declare(declaration => ({
                ...declaration,
                services: declaration.services.map(service => ({
                    ...service,
                    routes: [{ key: "key-5", server: "b2" }],
                })),
            })));
        lose(session, "b2 is killed", () => session.server("b2").kill());
        lose(session, "b2 is back", () => session.server("b2").restart());
    },
);

expectSession(
    "serverRemoved",
    "Server that is no longer declared, and another that is new",
    { ...oneCentre, work: 60 },
    session => {
        lose(session, "b1 is taken out of the declaration", () =>
            session.declare(declaration => ({
                ...declaration,
                servers: declaration.servers.filter(server => server.name !== "b1"),
            })));
    },
);

expectSession(
    "patience",
    "Service whose keys wait 2 s for their server",
    { ...oneCentre, objective: { patienceMs: 2000 } },
    session => {
        lose(session, "b1 freezes for a second", () => session.server("b1").freeze(false), 1000);
        lose(session, "b1 wakes", () => session.server("b1").thaw(), 2000);
        lose(session, "b1 is killed", () => session.server("b1").kill(), 5000);
    },
);

expectSession(
    "acknowledged",
    "Service whose keys move only by the server's word or an operator's",
    { ...oneCentre, objective: { takeover: "acknowledged" } },
    session => {
        lose(session, "b1 is killed", () => session.server("b1").kill(), 5000);
        lose(session, "b1 is started again", () => session.server("b1").restart());
        lose(session, "b1 is drained", () => drain(session, "b1"));
    },
);

expectSession(
    "uncheckedMove",
    "Servers that check no orders: drain and loss",
    { ...uncheckedCast, work: 60 },
    session => {
        lose(session, "b1 is drained", () => drain(session, "b1"));
        lose(session, "b2 is killed", () => session.server("b2").kill());
    },
);

expectSession(
    "uncheckedPause",
    "Server that checks no orders, and one of its grantors paused",
    uncheckedCast,
    session => {
        const grantor = [...session.hosts.values()].find(host =>
            Object.hasOwn(host.state.grants, "b1") && !host.state.coordinator.isHeld
        )!;
        lose(session, `${grantor.name} is paused`, () => grantor.pause(), 1500);
        lose(
            session,
            "b1 is drained: the move waits for the word of each grantor",
            () => drain(session, "b1"),
            2000,
        );
        lose(session, `${grantor.name} wakes`, () => grantor.resume(), 3000);
    },
);

test("Limit: a server whose clock stood still while it was frozen believes on, and its grantors send it nothing", async () => {
    const session = startSession(oneCentre);
    lose(session, "b1 freezes, and its clock with it", () => session.server("b1").freeze(true), 2000);
    lose(session, "b1 wakes", () => session.server("b1").thaw(), 2000);
    await expect(printSession(session, "Server whose clock stood still")).toMatchFileSnapshot(
        "./golden/clockStoodStill.txt",
    );
    const takenAt = session.journal.find(({ time, event }) => time > 3000 && event.kind === "takes")!.time;
    const sentLater = session.journal.filter(({ server, event }) =>
        server === "b1" && event.kind === "starts" && event.sentAt >= takenAt
    );
    expect(sentLater).toEqual([]);
    const others = observe(getEvidence(session)).filter(({ text }) =>
        !/is owned by b1#1 and|runs on b1#1 under an old generation/.test(text)
    );
    expect(others).toEqual([]);
});
