import type { Effect, Input } from "@arbutusdoor/ownership";
import { expect, test } from "vitest";
import { drain } from "./simulation/drain.js";
import { getEvidence } from "./simulation/getEvidence.js";
import { SETUPS } from "./simulation/setups.js";
import type { SimulationSetup } from "./simulation/simulationSetup.js";
import { startSimulation } from "./simulation/startSimulation.js";
import type { StepFault } from "./simulation/stepFault.js";

import { findViolations } from "./simulation/findViolations.js";

import type { Simulation } from "./simulation/simulation.js";

const { oneCentre } = SETUPS;
const GRANTORS = ["e1", "e2", "e3"];
const smallSetup: SimulationSetup = {
    ...oneCentre,
    centres: { north: { hosts: GRANTORS, servers: ["b1", "b2"] } },
};

/** A rule that a faulty host breaks, in a simulation in which only that rule prevents a violation. */
type BrokenRule = {
    readonly rule: string;
    readonly setup: SimulationSetup;
    /** Hosts whose kernel is faulty; called before `disturb`. */
    readonly fault: (simulation: Simulation) => readonly (readonly [string, StepFault])[];
    readonly disturb: (simulation: Simulation) => void;
};

function changeOrders(change: (effect: Extract<Effect, { kind: "sendOrder"; }>) => Effect): StepFault {
    return ({ after }) => ({
        ...after,
        effects: after.effects.map(effect => effect.kind === "sendOrder" ? change(effect) : effect),
    });
}

function getCoordinator(simulation: Simulation): string {
    return simulation.coordinator("north")!.name;
}

/** A grantor that is not the coordinator. */
function getOther(simulation: Simulation): string {
    return GRANTORS.find(name => name !== getCoordinator(simulation))!;
}

/** Partitions b1 from all grantors but one. */
function cutServer(simulation: Simulation, except: string): void {
    simulation.network.cut("server", ["b1"], GRANTORS.filter(name => name !== except));
}

const BROKEN_RULES: readonly BrokenRule[] = [
    {
        rule: "a renewal counts from the server's own clock reading",
        setup: smallSetup,
        fault: () =>
            GRANTORS.map(name => [
                name,
                changeOrders(({ order, ...effect }) => ({
                    ...effect,
                    order: order.leaseUntil ? { ...order, leaseUntil: order.leaseUntil + 1500 } : order,
                })),
            ]),
        disturb: simulation => {
            simulation.run(500);
            simulation.network.cut("server", ["b1"], GRANTORS);
        },
    },
    {
        rule: "elapsed time alone is no stop proof",
        setup: smallSetup,
        fault: simulation => {
            const begun = new Map<number, number>();
            const confirmAll: StepFault = ({ after: { state, effects }, now }) => {
                const takeovers = Object.entries(state.coordinator.takeovers).map(([server, attempt]) => {
                    const since = begun.get(attempt.barId) ?? now;
                    begun.set(attempt.barId, since);
                    const confirmed = GRANTORS.map(name => `${name}/${name}#1`);
                    return [server, now - since > 700 ? { ...attempt, confirmed } : attempt];
                });
                const coordinator = {
                    ...state.coordinator,
                    takeovers: Object.fromEntries(takeovers) as typeof state.coordinator.takeovers,
                };
                return { effects, state: { ...state, coordinator } };
            };
            return [[getCoordinator(simulation), confirmAll]];
        },
        disturb: simulation => {
            const other = getOther(simulation);
            cutServer(simulation, other);
            simulation.network.cut("peers", [other], GRANTORS.filter(name => name !== other));
        },
    },
    {
        rule: "a grantor that has confirmed a revocation renews nothing",
        setup: smallSetup,
        fault: simulation => {
            const ignoreRevocations: StepFault = ({ before, input, after }) => {
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
            return [[getOther(simulation), ignoreRevocations]];
        },
        disturb: simulation => cutServer(simulation, getOther(simulation)),
    },
    {
        rule: "a slice is granted only after the fence of its former holder",
        setup: { ...smallSetup, work: 300 },
        fault: simulation => {
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
            return [[getCoordinator(simulation), forgeStops]];
        },
        disturb: simulation => {
            simulation.network.cut("server", ["b1"], GRANTORS.slice(1));
            drain(simulation, "b1");
        },
    },
    {
        rule: "a new grantor reads the assignments fresh before it sends anything",
        setup: { ...oneCentre, checksOrders: false },
        fault: simulation => {
            const newcomer = getNewcomer(simulation);
            const trustOldRows: StepFault = ({ before, input, after: { state, effects } }) => {
                const scanned = { ...state.table.scanned, "assignment/": Infinity };
                const isRead = input.kind === "tableRead" || input.kind === "peerMessage";
                const kept = isRead ? { assignments: before.assignments, slices: before.slices } : {};
                return { effects, state: { ...state, ...kept, table: { ...state.table, scanned } } };
            };
            return [[newcomer, trustOldRows]];
        },
        disturb: simulation => {
            const newcomer = getNewcomer(simulation);
            drain(simulation, "b1");
            simulation.run(1000);
            const grantor = [...simulation.hosts.values()].find(host =>
                Object.hasOwn(host.state.grants, "b1") && !host.state.coordinator.isHeld
            )!;
            grantor.handle({ kind: "resign" });
            simulation.run(1000);
            simulation.note(`${newcomer} joins`);
        },
    },
];

const supportSetup: SimulationSetup = { ...smallSetup, settings: { promisesPerGrantor: 2 } };

/** Leaves one grantor and b1 able to reach each other, but no other host. */
function isolateWithServer(simulation: Simulation): void {
    const other = getOther(simulation);
    cutServer(simulation, other);
    simulation.network.cut("peers", [other, "b1"], [...GRANTORS.filter(name => name !== other), "table"]);
}

const BROKEN_SUPPORT_RULES: readonly BrokenRule[] = [
    {
        rule: "a grantor without support renews nothing",
        setup: supportSetup,
        fault: simulation => {
            const ignoreMissingSupport: StepFault = ({ after: { state, effects } }) => {
                const supportUntil = Object.fromEntries(
                    GRANTORS.map(name => [`${name}/${name}#1`, Infinity]),
                );
                const grants = Object.entries(state.grants).map((
                    [name, grant],
                ) => [name, { ...grant, supportUntil }]);
                return {
                    effects,
                    state: { ...state, grants: Object.fromEntries(grants) as typeof state.grants },
                };
            };
            return [[getOther(simulation), ignoreMissingSupport]];
        },
        disturb: isolateWithServer,
    },
    {
        rule: "a takeover goes on without a grantor only after all support of it has expired",
        setup: { ...supportSetup, settings: { promisesPerGrantor: 2, promiseMs: 900 } },
        fault: simulation => {
            const denyEarly: StepFault = ({ after: { state, effects } }) => {
                const names = GRANTORS.map(name => `${name}/${name}#1`);
                const takeovers = Object.entries(state.coordinator.takeovers).map(([server, attempt]) => {
                    const denials = Object.fromEntries(attempt.confirmed.map(name => [name, names]));
                    return [server, { ...attempt, denials }];
                });
                const coordinator = {
                    ...state.coordinator,
                    takeovers: Object.fromEntries(takeovers) as typeof state.coordinator.takeovers,
                };
                return { effects, state: { ...state, coordinator } };
            };
            return [[getCoordinator(simulation), denyEarly]];
        },
        disturb: isolateWithServer,
    },
    {
        rule: "a grantor that has lost support learns of the takeover before it gets support again",
        setup: supportSetup,
        fault: simulation => {
            const other = getOther(simulation);
            const isRows = (effect: Effect) =>
                effect.kind === "sendPeer" && effect.to === other && effect.message.kind === "rows";
            const supportAnyway: StepFault = ({ input, after }) => {
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
            const third = GRANTORS.find(name => name !== other && name !== getCoordinator(simulation))!;
            return [[third, supportAnyway]];
        },
        disturb: simulation => {
            const [other, coordinator] = [getOther(simulation), getCoordinator(simulation)];
            const others = GRANTORS.filter(name => name !== other);
            simulation.network.cut("server", ["b1"], GRANTORS);
            simulation.network.cut("peers", [other], [...others, "table"]);
            simulation.run(2500);
            simulation.network.cut("server", ["b1"], others);
            simulation.network.cut("peers", [other], [coordinator, "table"]);
        },
    },
];

/** The host that is not a grantor of b1 yet. */
function getNewcomer(simulation: Simulation): string {
    return [...simulation.hosts.values()].find(host => !Object.hasOwn(host.state.grants, "b1"))!.name;
}

function isHealthyReport(effect: Effect): boolean {
    return effect.kind === "sendPeer" && effect.message.kind === "serverReport"
        && !effect.message.report.isSuspect;
}

for (const { rule, setup, fault, disturb } of [...BROKEN_RULES, ...BROKEN_SUPPORT_RULES]) {
    test(`violations are found when a host breaks the rule: ${rule}`, () => {
        const correct = startSimulation(setup);
        disturb(correct);
        correct.run(3000);
        expect(findViolations(getEvidence(correct))).toEqual([]);
        const faulty = startSimulation(setup);
        fault(faulty).forEach(([name, kernelFault]) => {
            faulty.host(name).fault = kernelFault;
        });
        disturb(faulty);
        faulty.run(3000);
        const found = findViolations(getEvidence(faulty)).map(({ text }) => text);
        expect(found.length).toBeGreaterThan(0);
        expect([...new Set(found)].slice(0, 3)).toMatchSnapshot();
    });
}

const server = { server: "b1", incarnation: "b1#1", checksOrders: true } as const;
const caller = { key: "k", sentAt: 1, endedAt: 2, reason: "" } as const;

function createCommit(time: number, slices: readonly object[]) {
    const row = { key: "assignment/board/0" as never, version: time, value: { slices } };
    return { time, row, operationId: "x" as never };
}

test("repeated runs, untrue refusals and lost assignments are found", () => {
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
            createCommit(1, [range]),
            createCommit(2, [{ ...range, owner: { server: "b2" } }]),
            createCommit(3, [{ ...range, generation: 2 }]),
            createCommit(4, []),
        ],
    });
    expect(found).toMatchSnapshot();
});
