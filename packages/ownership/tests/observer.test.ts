import type { Effect, Input } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { drain } from "./session/drain.js";
import { getEvidence } from "./session/getEvidence.js";
import { SETUPS } from "./session/setups.js";
import type { SimulationSetup } from "./session/simulationSetup.js";
import { startSimulation } from "./session/startSimulation.js";
import type { StepFault } from "./session/stepFault.js";

import { findViolations } from "./session/findViolations.js";

import type { Simulation } from "./session/simulation.js";

const { oneCentre } = SETUPS;
const GRANTORS = ["e1", "e2", "e3"];
const smallCast: SimulationSetup = {
    ...oneCentre,
    centres: { north: { hosts: GRANTORS, servers: ["b1", "b2"] } },
};

/** A rule that a test double breaks, in a session in which the rule is what keeps the promises. */
type Deceit = {
    readonly rule: string;
    readonly cast: SimulationSetup;
    /** Hosts whose kernel is a double; prepared before the play. */
    readonly fault: (session: Simulation) => readonly (readonly [string, StepFault])[];
    readonly play: (session: Simulation) => void;
};

function changeOrders(change: (effect: Extract<Effect, { kind: "sendOrder"; }>) => Effect): StepFault {
    return ({ after }) => ({
        ...after,
        effects: after.effects.map(effect => effect.kind === "sendOrder" ? change(effect) : effect),
    });
}

function getDecider(session: Simulation): string {
    return session.coordinator("north")!.name;
}

/** A grantor that is not the decider. */
function getOther(session: Simulation): string {
    return GRANTORS.find(name => name !== getDecider(session))!;
}

/** The server answers only one grantor. */
function cutServer(session: Simulation, except: string): void {
    session.network.cut("server", ["b1"], GRANTORS.filter(name => name !== except));
}

const DECEITS: readonly Deceit[] = [
    {
        rule: "a renewal counts from the server's own clock reading",
        cast: smallCast,
        fault: () =>
            GRANTORS.map(name => [
                name,
                changeOrders(({ order, ...effect }) => ({
                    ...effect,
                    order: order.leaseUntil ? { ...order, leaseUntil: order.leaseUntil + 1500 } : order,
                })),
            ]),
        play: session => {
            session.run(500);
            session.network.cut("server", ["b1"], GRANTORS);
        },
    },
    {
        rule: "elapsed time alone is no stop proof",
        cast: smallCast,
        fault: session => {
            const begun = new Map<number, number>();
            const confirmAll: StepFault = ({ after: { state, effects }, now }) => {
                const rounds = Object.entries(state.coordinator.takeovers).map(([server, round]) => {
                    const since = begun.get(round.barId) ?? now;
                    begun.set(round.barId, since);
                    const confirmed = GRANTORS.map(name => `${name}/${name}#1`);
                    return [server, now - since > 700 ? { ...round, confirmed } : round];
                });
                const decider = {
                    ...state.coordinator,
                    takeovers: Object.fromEntries(rounds) as typeof state.coordinator.takeovers,
                };
                return { effects, state: { ...state, coordinator: decider } };
            };
            return [[getDecider(session), confirmAll]];
        },
        play: session => {
            const other = getOther(session);
            cutServer(session, other);
            session.network.cut("peers", [other], GRANTORS.filter(name => name !== other));
        },
    },
    {
        rule: "a barred grantor renews nothing",
        cast: smallCast,
        fault: session => {
            const ignoreBars: StepFault = ({ before, input, after }) => {
                const message = (input as Partial<Extract<Input, { kind: "peerMessage"; }>>).message;
                if (input.kind !== "peerMessage" || message?.kind !== "bar") {
                    return { ...after, effects: after.effects.filter(effect => !isHealthyReport(effect)) };
                }
                const { server, barId, basisVersion } = message;
                const denied: string[] = [];
                const confirmed = { kind: "barConfirmed", server, barId, basisVersion, denied } as const;
                return {
                    state: before,
                    effects: [{ kind: "sendPeer", to: input.from.host, message: confirmed }],
                };
            };
            return [[getOther(session), ignoreBars]];
        },
        play: session => cutServer(session, getOther(session)),
    },
    {
        rule: "a slice is granted only after the fence of its former holder",
        cast: { ...smallCast, work: 300 },
        fault: session => {
            const forgeStops: StepFault = ({ after: { state, effects } }) => {
                const formers = Object.values(state.assignments).flatMap(({ value }) =>
                    value.slices.flatMap(slice => slice.former)
                );
                const stops = Object.fromEntries(formers.map(former => [
                    `board/${former.slice}/${former.fence}/${former.server}/${former.incarnation}`,
                    ["nobody"],
                ]));
                return {
                    effects,
                    state: { ...state, coordinator: { ...state.coordinator, stopProofs: stops } },
                };
            };
            return [[getDecider(session), forgeStops]];
        },
        play: session => {
            session.network.cut("server", ["b1"], GRANTORS.slice(1));
            drain(session, "b1");
        },
    },
    {
        rule: "a new grantor reads the assignments fresh before it sends anything",
        cast: { ...oneCentre, checksOrders: false },
        fault: session => {
            const newcomer = getNewcomer(session);
            const trustOldRows: StepFault = ({ before, input, after: { state, effects } }) => {
                const scanned = { ...state.table.scanned, "assignment/": Infinity };
                const isRead = input.kind === "tableRead" || input.kind === "peerMessage";
                const kept = isRead ? { assignments: before.assignments, slices: before.slices } : {};
                return { effects, state: { ...state, ...kept, table: { ...state.table, scanned } } };
            };
            return [[newcomer, trustOldRows]];
        },
        play: session => {
            const newcomer = getNewcomer(session);
            drain(session, "b1");
            session.run(1000);
            const grantor = [...session.hosts.values()].find(host =>
                Object.hasOwn(host.state.grants, "b1") && !host.state.coordinator.isHeld
            )!;
            grantor.handle({ kind: "resign" });
            session.run(1000);
            session.note(`${newcomer} joins`);
        },
    },
];

const promiseCast: SimulationSetup = { ...smallCast, settings: { promisesPerGrantor: 2 } };

/** One grantor alone reaches b1, and reaches no other host. */
function isolateWithServer(session: Simulation): void {
    const other = getOther(session);
    cutServer(session, other);
    session.network.cut("peers", [other, "b1"], [...GRANTORS.filter(name => name !== other), "table"]);
}

const PROMISE_DECEITS: readonly Deceit[] = [
    {
        rule: "a grantor without promises renews nothing",
        cast: promiseCast,
        fault: session => {
            const trustItself: StepFault = ({ after: { state, effects } }) => {
                const supportUntil = Object.fromEntries(
                    GRANTORS.map(name => [`${name}/${name}#1`, Infinity]),
                );
                const grants = Object.entries(state.grants).map((
                    [name, grant],
                ) => [name, { ...grant, supportUntil: supportUntil }]);
                return {
                    effects,
                    state: { ...state, grants: Object.fromEntries(grants) as typeof state.grants },
                };
            };
            return [[getOther(session), trustItself]];
        },
        play: isolateWithServer,
    },
    {
        rule: "a host is passed over only after all promises to it have run out",
        cast: { ...promiseCast, settings: { promisesPerGrantor: 2, promiseMs: 900 } },
        fault: session => {
            const denyEarly: StepFault = ({ after: { state, effects } }) => {
                const names = GRANTORS.map(name => `${name}/${name}#1`);
                const rounds = Object.entries(state.coordinator.takeovers).map(([server, round]) => {
                    const denials = Object.fromEntries(round.confirmed.map(name => [name, names]));
                    return [server, { ...round, denials }];
                });
                const decider = {
                    ...state.coordinator,
                    takeovers: Object.fromEntries(rounds) as typeof state.coordinator.takeovers,
                };
                return { effects, state: { ...state, coordinator: decider } };
            };
            return [[getDecider(session), denyEarly]];
        },
        play: isolateWithServer,
    },
    {
        rule: "a host that was passed over learns it before it gets a promise",
        cast: promiseCast,
        fault: session => {
            const other = getOther(session);
            const isRows = (effect: Effect) =>
                effect.kind === "sendPeer" && effect.to === other && effect.message.kind === "rows";
            const promiseAnyway: StepFault = ({ input, after }) => {
                const effects = after.effects.filter(effect => !isRows(effect));
                const isOther = input.kind === "peerMessage" && input.from.host === other;
                if (!isOther || input.message.kind !== "promisesWanted") {
                    return { ...after, effects };
                }
                const servers = input.message.servers.map(({ server }) => server);
                const message = { kind: "promised", askedAt: input.message.askedAt, servers } as const;
                return {
                    ...after,
                    effects: [...effects, { kind: "sendPeer", to: input.from.host, message }],
                };
            };
            const third = GRANTORS.find(name => name !== other && name !== getDecider(session))!;
            return [[third, promiseAnyway]];
        },
        play: session => {
            const [other, decider] = [getOther(session), getDecider(session)];
            const others = GRANTORS.filter(name => name !== other);
            session.network.cut("server", ["b1"], GRANTORS);
            session.network.cut("peers", [other], [...others, "table"]);
            session.run(2500);
            session.network.cut("server", ["b1"], others);
            session.network.cut("peers", [other], [decider, "table"]);
        },
    },
];

/** The host that is not a grantor of b1 yet. */
function getNewcomer(session: Simulation): string {
    return [...session.hosts.values()].find(host => !Object.hasOwn(host.state.grants, "b1"))!.name;
}

function isHealthyReport(effect: Effect): boolean {
    return effect.kind === "sendPeer" && effect.message.kind === "serverReport"
        && !effect.message.report.isSuspect;
}

for (const { rule, cast, fault, play } of [...DECEITS, ...PROMISE_DECEITS]) {
    test(`the observer sees when a host breaks the rule: ${rule}`, () => {
        const honest = startSimulation(cast);
        play(honest);
        honest.run(3000);
        expect(findViolations(getEvidence(honest))).toEqual([]);
        const deceived = startSimulation(cast);
        fault(deceived).forEach(([name, double]) => {
            deceived.host(name).fault = double;
        });
        play(deceived);
        deceived.run(3000);
        const found = findViolations(getEvidence(deceived)).map(({ text }) => text);
        expect(found.length).toBeGreaterThan(0);
        expect([...new Set(found)].slice(0, 3)).toMatchSnapshot();
    });
}

const server = { server: "b1", run: "b1#1", checksOrders: true } as const;
const caller = { key: "k", sentAt: 1, endedAt: 2, reason: "" } as const;

function newCommit(time: number, slices: readonly object[]) {
    const row = { key: "assignment/board/0" as never, version: time, value: { slices } };
    return { time, row, operationId: "x" as never };
}

test("the observer sees repeated runs, untrue refusals and lost assignments", () => {
    const starts = { kind: "starts", sentAt: 1, request: "r1", key: "k", generation: 1 } as const;
    const range = { slice: "range-0", from: 0, to: 2 ** 32, generation: 3, owner: { server: "b1" } };
    const found = findViolations({
        journal: [
            { ...server, time: 1, event: starts },
            { ...server, time: 2, event: starts },
        ],
        callers: [
            { ...caller, id: "r1", outcome: "notRun" },
            { ...caller, id: "r2", outcome: "answered" },
            { ...caller, id: "r3", outcome: "unknown" },
        ],
        commits: [
            newCommit(1, [range]),
            newCommit(2, [{ ...range, owner: { server: "b2" } }]),
            newCommit(3, [{ ...range, generation: 2 }]),
            newCommit(4, []),
        ],
    });
    expect(found).toMatchSnapshot();
});
