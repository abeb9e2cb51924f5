import { RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import type { Intent } from "../../src/intents/intent.js";
import type { IntentStore } from "../../src/intents/intentStore.js";
import { IntentSimulation } from "./intentSimulation.js";

const SEEDS = 60;
const HOSTS = ["a", "b", "c"];
const NAMES = ["deposit-1", "deposit-2"];
const FAULTS = ["none", "none", "none", "lost", "dropped", "late", "out"] as const;

/** Repeats work through one host; each attempt ends at random, or never, as if the host was killed. */
async function repeat(
    simulation: IntentSimulation,
    random: RandomSource,
    host: string,
    store: IntentStore,
    runs: Map<string, number>,
): Promise<void> {
    for (let round = 0; round < 4; round++) {
        const name = random.pick(NAMES);
        const intent = await simulation.begin(host, store, { name, deadline: 20 });
        if (intent) {
            await end(simulation, random, store, intent, () => runs.set(name, (runs.get(name) ?? 0) + 1));
        }
        await simulation.clock.sleep(random.nextInteger(40));
    }
}

async function end(
    simulation: IntentSimulation,
    random: RandomSource,
    store: IntentStore,
    intent: Intent,
    run: () => void,
): Promise<void> {
    const ending = random.pick(["answered", "unknown", "notRun", "killed"] as const);
    simulation.record(`${intent.request.requestId}: ends as ${ending}`);
    if (ending !== "notRun") {
        run();
    }
    if (ending === "killed") {
        return;
    }
    const outcome = ending === "answered" ? simulation.createAnswered() : { kind: ending };
    void store.finish(intent, outcome);
}

test("work runs at most once, whatever faults the table has", async () => {
    for (let seed = 1; seed <= SEEDS; seed++) {
        const random = new RandomSource(seed);
        const simulation = new IntentSimulation({ marginMs: 0 });
        const runs = new Map<string, number>();
        simulation.table.nextFault = () => random.pick(FAULTS);
        simulation.table.isReadable = () => random.nextInteger(3) > 0;
        const hosts = HOSTS.map(host => repeat(simulation, random, host, simulation.createStore(host), runs));
        for (let turn = 0; turn < 300; turn++) {
            await simulation.advance(1);
            if (random.nextInteger(10) === 0) {
                simulation.table.applyLate();
            }
        }
        await simulation.advance(5_000, 50);
        await Promise.all(hosts);
        const most = Math.max(0, ...runs.values());
        expect(most, `seed ${seed}\n${simulation.trace}`).toBeLessThanOrEqual(1);
    }
});
