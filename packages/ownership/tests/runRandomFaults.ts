import { RandomSource } from "@arbutusdoor/common";
import type { RandomRunResult } from "./randomRunResult.js";
import { attest } from "./session/attest.js";
import { drain } from "./session/drain.js";
import { getEvidence } from "./session/getEvidence.js";
import type { SimulationSetup } from "./session/simulationSetup.js";
import { startSimulation } from "./session/startSimulation.js";

import type { FakeServer } from "./session/fakeServer.js";
import { findViolations } from "./session/findViolations.js";

import type { Simulation } from "./session/simulation.js";

const STEPS = 12;
const LONGEST_STEP_MS = 1500;
const LONGEST_HEAL_MS = 12_000;
const LATE_COMMIT_MS = 2000;

type Fault = (session: Simulation, random: RandomSource) => string;

function pickHost(session: Simulation, random: RandomSource) {
    return random.pick([...session.hosts.values()]);
}

function pickServer(session: Simulation, random: RandomSource) {
    return random.pick([...session.servers.values()]);
}

function revive(server: FakeServer): void {
    if (server.state === "dead") {
        server.restart();
    }
    else {
        server.thaw();
    }
}

const FAULTS: readonly Fault[] = [
    (session, random) => {
        const host = pickHost(session, random);
        host.kill();
        return `kill ${host.name}`;
    },
    (session, random) => {
        const host = pickHost(session, random);
        host.holdsOrders = random.nextFraction() < 0.5;
        if (host.condition === "running") {
            host.pause();
        }
        return `pause ${host.name}`;
    },
    (session, random) => {
        const host = pickHost(session, random);
        host.resume();
        if (host.condition === "dead") {
            session.restartHost(host.name);
        }
        return `resume or restart ${host.name}`;
    },
    (session, random) => {
        const server = pickServer(session, random);
        server.kill();
        return `kill ${server.name}`;
    },
    (session, random) => {
        const server = pickServer(session, random);
        if (server.state === "running") {
            server.freeze(false);
        }
        return `freeze ${server.name}`;
    },
    (session, random) => {
        const server = pickServer(session, random);
        revive(server);
        return `thaw or restart ${server.name}`;
    },
    (session, random) => {
        const host = pickHost(session, random);
        host.execute(host.run, () => host.handle({ kind: "resign" }));
        return `resign ${host.name}`;
    },
    (session, random) => {
        const server = pickServer(session, random);
        server.isLeaving = !server.isLeaving;
        return `${server.name} leaves: ${server.isLeaving}`;
    },
    (session, random) => {
        const server = pickServer(session, random);
        server.restart();
        return `restart ${server.name}`;
    },
    session => {
        session.table.isDown = !session.table.isDown;
        return `table down: ${session.table.isDown}`;
    },
    (session, random) => {
        session.table.losesAnswer = () => random.nextFraction() < 0.2;
        session.table.holdsBack = () =>
            random.nextFraction() < 0.1 ? random.nextFraction() * LATE_COMMIT_MS : 0;
        session.table.slowness = random.nextFraction() * 300;
        return "table slow, loses answers, commits late";
    },
    (session, random) => {
        const host = pickHost(session, random);
        const others = [...session.hosts.keys(), ...session.servers.keys(), "table"]
            .filter(name => name !== host.name && random.nextFraction() < 0.4);
        session.network.cut(`cut-${host.name}`, [host.name], others);
        return `cut ${host.name} from ${others.join(", ")}`;
    },
    (session, random) => {
        const name = random.pick(Object.keys(session.setup.centres));
        const nodes = session.nodesOf(name);
        const others = [...session.hosts.keys(), "table"].filter(other => !nodes.includes(other));
        session.network.cut("centre", nodes, others);
        return `cut ${name}`;
    },
    session => {
        [...session.hosts.keys()].forEach(name => session.network.heal(`cut-${name}`));
        session.network.heal("centre");
        return "heal the cuts";
    },
    (session, random) => {
        const disturbance = { loss: 0.05, duplicate: 0.05, late: 0.05, longestDelay: 3000 };
        session.network.faults = random.nextFraction() < 0.7
            ? disturbance
            : { ...disturbance, late: 0.3 };
        return "messages lost, repeated, late";
    },
    (session, random) => {
        const name = pickServer(session, random).name;
        drain(session, name);
        return `drain ${name} alone`;
    },
    (session, random) => {
        const host = session.coordinator(random.pick(Object.keys(session.setup.centres)));
        const name = pickServer(session, random).name;
        const slice = random.pick(Object.values(host?.state.slices["board" as never]?.byName ?? {}));
        if (host && slice) {
            const input = { service: "board", slice: slice.slice } as never as {
                service: never;
                slice: never;
            };
            host.handle({ kind: "moveWanted", ...input, to: name as never });
            const key = random.pick(session.callers.keys);
            host.handle({ kind: "splitWanted", ...input, key });
        }
        return `move ${slice?.slice} to ${name}, and split`;
    },
];

/** Plays a session with random faults, up to two new ones a step, heals everything, and judges. */
export function runRandomFaults(
    seed: number,
    cast: SimulationSetup,
    prepare: (session: Simulation) => void = () => undefined,
): RandomRunResult {
    const session = startSimulation({
        ...cast,
        seed,
        settings: { tableReadIntervalMs: 2000, ...cast.settings },
    });
    const random = new RandomSource(seed);
    const faults: string[] = [];
    prepare(session);
    for (let step = 0; step < STEPS; step++) {
        const count = 1 + random.nextInteger(2);
        for (let fault = 0; fault < count; fault++) {
            faults.push(`${Math.round(session.clock.now())} ${random.pick(FAULTS)(session, random)}`);
        }
        session.run(random.nextFraction() * LONGEST_STEP_MS);
    }
    const isServedAgain = heal(session);
    session.run(1500);
    return {
        seed,
        faults,
        violations: findViolations(getEvidence(session)),
        isServedAgain,
        answered: session.callers.log.filter(entry => entry.outcome === "answered").length,
        rowsWritten: session.table.journal.filter(({ row }) => !row.key.startsWith("decider/")).length,
    };
}

/** Ends all faults; what stays blocked because hosts were lost is attested, as an operator would. */
function heal(session: Simulation): boolean {
    session.network.clearFaults();
    [...session.hosts.keys()].forEach(name => session.network.heal(`cut-${name}`));
    session.network.heal("centre");
    Object.assign(session.table, {
        isDown: false,
        slowness: 0,
        losesAnswer: () => false,
        holdsBack: () => 0,
    });
    session.hosts.forEach(host => host.state.isResigning ? host.kill() : undefined);
    session.hosts.forEach(host => host.condition === "dead" ? session.restartHost(host.name) : host.resume());
    session.hosts.forEach(host => host.flushOrders());
    session.servers.forEach(server => {
        server.isLeaving = false;
        revive(server);
    });
    session.run(LONGEST_HEAL_MS / 2);
    attestLost(session);
    const since = session.clock.now();
    session.run(LONGEST_HEAL_MS / 2);
    return session.isServedSince(since);
}

/** Attests all runs that have ended. */
function attestLost(session: Simulation): void {
    const getRuns = ({ name, run }: { name: string; run: number; }) =>
        [...Array(run - 1).keys()].map(index => `${name}#${index + 1}`);
    session.servers.forEach(server =>
        getRuns(server).forEach(incarnation =>
            attest(session, { kind: "server", server: server.name, incarnation })
        )
    );
    session.hosts.forEach(host =>
        getRuns(host).forEach(incarnation => attest(session, { kind: "host", host: host.name, incarnation }))
    );
}
