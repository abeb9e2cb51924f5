import { RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { createRegisteredServer } from "./support/createRegisteredServer.js";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const OTHERS = ["b", "c", "d"];
const SEEDS = Array.from({ length: 40 }, (_, index) => 8_100 + index);
const STEPS = 14;
const LONGEST_STEP_MS = 3_000;

/**
 * Simulates a host `a` that loses the store and goes on renewing the grants of server `s`, which only it reaches. At random times the other
 * hosts take the lease, give it up, crash, restart and lose the store. Returns the violations.
 */
async function simulate(seed: number): Promise<readonly string[]> {
    const random = new RandomSource(seed);
    const pick = (count: number) => Math.floor(random.nextFraction() * count);
    const cluster = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    const stopped = new Set<string>();
    const storeCut = new Set<string>();
    const start = (host: string) => {
        cluster.startHost(host);
        cluster.setServersCut(host, ["s"], true);
        stopped.delete(host);
        storeCut.delete(host);
    };
    cluster.startHost("a");
    await cluster.run(1_000);
    OTHERS.forEach(start);
    await cluster.run(3_000);
    cluster.setStoreCut("a", true);
    cluster.register("s", undefined);
    for (let step = 0; step < STEPS; step++) {
        await cluster.run(random.nextFraction() * LONGEST_STEP_MS);
        const coordinator = cluster.terms.at(-1)!.split(" ")[0]!;
        ["a", ...OTHERS].filter(other => !stopped.has(other)).forEach(other =>
            cluster.report(other, coordinator)
        );
        const host = pick(2) === 0 && coordinator !== "a" ? coordinator : OTHERS[pick(OTHERS.length)]!;
        const action = pick(6);
        if (stopped.has(host)) {
            start(host);
            OTHERS.filter(other => other !== host && !stopped.has(other)).forEach(other =>
                cluster.report(host, other)
            );
        }
        else if (action <= 1) {
            cluster.stopHost(host);
            stopped.add(host);
        }
        else if (action === 2) {
            cluster.crashHost(host);
            stopped.add(host);
        }
        else if (action === 3) {
            const isCut = !storeCut.has(host);
            cluster.setStoreCut(host, isCut);
            if (isCut) {
                storeCut.add(host);
            }
            else {
                storeCut.delete(host);
            }
        }
        else if (action === 4) {
            cluster.register("p", pick(2) === 0 ? undefined : createRegisteredServer("p"));
        }
        else {
            cluster.maps.lostAnswers = pick(3);
        }
    }
    cluster.setStoreCut("a", false);
    await cluster.run(25_000);
    return cluster.checker.violations;
}

// Guards against two owners of a key: the lease changes hands repeatedly while the first coordinator may renew grants.
test.each(SEEDS)("seed %i: successors that come and go wait for the first coordinator", async seed => {
    expect(await simulate(seed)).toEqual([]);
});
