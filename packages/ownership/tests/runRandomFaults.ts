import { RandomSource } from "@arbutusdoor/common";
import type { RandomRunResult } from "./randomRunResult.js";
import { attest } from "./simulation/attest.js";
import { drain } from "./simulation/drain.js";
import { getEvidence } from "./simulation/getEvidence.js";
import type { SimulationSetup } from "./simulation/simulationSetup.js";
import { startSimulation } from "./simulation/startSimulation.js";

import type { FakeServer } from "./simulation/fakeServer.js";
import { findViolations } from "./simulation/findViolations.js";

import type { Simulation } from "./simulation/simulation.js";

const STEPS = 12;
const LONGEST_STEP_MS = 1500;
const LONGEST_HEAL_MS = 12_000;
const LATE_COMMIT_MS = 2000;

type Fault = (simulation: Simulation, random: RandomSource) => string;

function pickHost(simulation: Simulation, random: RandomSource) {
    return random.pick([...simulation.hosts.values()]);
}

function pickServer(simulation: Simulation, random: RandomSource) {
    return random.pick([...simulation.servers.values()]);
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
    (simulation, random) => {
        const host = pickHost(simulation, random);
        host.kill();
        return `kill ${host.name}`;
    },
    (simulation, random) => {
        const host = pickHost(simulation, random);
        host.holdsOrders = random.nextFraction() < 0.5;
        if (host.condition === "running") {
            host.pause();
        }
        return `pause ${host.name}`;
    },
    (simulation, random) => {
        const host = pickHost(simulation, random);
        host.resume();
        if (host.condition === "dead") {
            simulation.restartHost(host.name);
        }
        return `resume or restart ${host.name}`;
    },
    (simulation, random) => {
        const server = pickServer(simulation, random);
        server.kill();
        return `kill ${server.name}`;
    },
    (simulation, random) => {
        const server = pickServer(simulation, random);
        if (server.state === "running") {
            server.freeze(false);
        }
        return `freeze ${server.name}`;
    },
    (simulation, random) => {
        const server = pickServer(simulation, random);
        revive(server);
        return `thaw or restart ${server.name}`;
    },
    (simulation, random) => {
        const host = pickHost(simulation, random);
        host.execute(host.incarnationNumber, () => host.handle({ kind: "resign" }));
        return `resign ${host.name}`;
    },
    (simulation, random) => {
        const server = pickServer(simulation, random);
        server.isLeaving = !server.isLeaving;
        return `${server.name} leaves: ${server.isLeaving}`;
    },
    (simulation, random) => {
        const server = pickServer(simulation, random);
        server.restart();
        return `restart ${server.name}`;
    },
    simulation => {
        simulation.table.isDown = !simulation.table.isDown;
        return `table down: ${simulation.table.isDown}`;
    },
    (simulation, random) => {
        simulation.table.losesAnswer = () => random.nextFraction() < 0.2;
        simulation.table.holdsBack = () =>
            random.nextFraction() < 0.1 ? random.nextFraction() * LATE_COMMIT_MS : 0;
        simulation.table.slowness = random.nextFraction() * 300;
        return "table slow, loses answers, commits late";
    },
    (simulation, random) => {
        const host = pickHost(simulation, random);
        const others = [...simulation.hosts.keys(), ...simulation.servers.keys(), "table"]
            .filter(name => name !== host.name && random.nextFraction() < 0.4);
        simulation.network.cut(`cut-${host.name}`, [host.name], others);
        return `cut ${host.name} from ${others.join(", ")}`;
    },
    (simulation, random) => {
        const name = random.pick(Object.keys(simulation.setup.centres));
        const nodes = simulation.nodesOf(name);
        const others = [...simulation.hosts.keys(), "table"].filter(other => !nodes.includes(other));
        simulation.network.cut("centre", nodes, others);
        return `cut ${name}`;
    },
    simulation => {
        [...simulation.hosts.keys()].forEach(name => simulation.network.heal(`cut-${name}`));
        simulation.network.heal("centre");
        return "heal the cuts";
    },
    (simulation, random) => {
        const disturbance = { loss: 0.05, duplicate: 0.05, late: 0.05, longestDelay: 3000 };
        simulation.network.faults = random.nextFraction() < 0.7
            ? disturbance
            : { ...disturbance, late: 0.3 };
        return "messages lost, repeated, late";
    },
    (simulation, random) => {
        const name = pickServer(simulation, random).name;
        drain(simulation, name);
        return `drain ${name} alone`;
    },
    (simulation, random) => {
        const host = simulation.coordinator(random.pick(Object.keys(simulation.setup.centres)));
        const name = pickServer(simulation, random).name;
        const slice = random.pick(Object.values(host?.state.slices["board" as never]?.byName ?? {}));
        if (host && slice) {
            const input = { service: "board", slice: slice.slice } as never as {
                service: never;
                slice: never;
            };
            host.handle({ kind: "moveWanted", ...input, to: name as never });
            const key = random.pick(simulation.callers.keys);
            host.handle({ kind: "splitWanted", ...input, key });
        }
        return `move ${slice?.slice} to ${name}, and split`;
    },
];

/** Runs a simulation with random faults, up to two new ones a step, then ends all faults and reports the result. */
export function runRandomFaults(
    seed: number,
    setup: SimulationSetup,
    prepare: (simulation: Simulation) => void = () => undefined,
): RandomRunResult {
    const simulation = startSimulation({
        ...setup,
        seed,
        settings: { tableReadIntervalMs: 2000, ...setup.settings },
    });
    const random = new RandomSource(seed);
    const faults: string[] = [];
    prepare(simulation);
    for (let step = 0; step < STEPS; step++) {
        const count = 1 + random.nextInteger(2);
        for (let fault = 0; fault < count; fault++) {
            faults.push(`${Math.round(simulation.clock.now())} ${random.pick(FAULTS)(simulation, random)}`);
        }
        simulation.run(random.nextFraction() * LONGEST_STEP_MS);
    }
    const isServedAgain = heal(simulation);
    simulation.run(1500);
    return {
        seed,
        faults,
        violations: findViolations(getEvidence(simulation)),
        isServedAgain,
        answered: simulation.callers.log.filter(entry => entry.outcome === "answered").length,
        rowsWritten: simulation.table.journal.filter(({ row }) => !row.key.startsWith("decider/")).length,
    };
}

/** Ends all faults. What stays blocked because hosts were lost is attested, as an operator would do. */
function heal(simulation: Simulation): boolean {
    simulation.network.clearFaults();
    [...simulation.hosts.keys()].forEach(name => simulation.network.heal(`cut-${name}`));
    simulation.network.heal("centre");
    Object.assign(simulation.table, {
        isDown: false,
        slowness: 0,
        losesAnswer: () => false,
        holdsBack: () => 0,
    });
    simulation.hosts.forEach(host => host.state.isResigning ? host.kill() : undefined);
    simulation.hosts.forEach(host =>
        host.condition === "dead" ? simulation.restartHost(host.name) : host.resume()
    );
    simulation.hosts.forEach(host => host.flushOrders());
    simulation.servers.forEach(server => {
        server.isLeaving = false;
        revive(server);
    });
    simulation.run(LONGEST_HEAL_MS / 2);
    attestLost(simulation);
    const since = simulation.clock.now();
    simulation.run(LONGEST_HEAL_MS / 2);
    return simulation.isServedSince(since);
}

/** Attests the loss of all incarnations that have ended. */
function attestLost(simulation: Simulation): void {
    const listIncarnations = ({ name, incarnationNumber }: { name: string; incarnationNumber: number; }) =>
        [...Array(incarnationNumber - 1).keys()].map(index => `${name}#${index + 1}`);
    simulation.servers.forEach(server =>
        listIncarnations(server).forEach(incarnation =>
            attest(simulation, { kind: "server", server: server.name, incarnation })
        )
    );
    simulation.hosts.forEach(host =>
        listIncarnations(host).forEach(incarnation =>
            attest(simulation, { kind: "host", host: host.name, incarnation })
        )
    );
}
