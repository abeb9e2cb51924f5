import { RandomSource } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { createRegisteredServer } from "./support/createRegisteredServer.js";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const OTHERS = ["b", "c", "d"];
const SEEDS = Array.from({ length: 40 }, (_, index) => 8_100 + index);
const STEPS = 14;
const LONGEST_STEP_MS = 3_000;

/**
 * Host `a` loses the store and goes on renewing the grants of server `s`, which it alone reaches. At random moments the others take
 * the lease, give it up, end without notice, start again and lose the store.
 */
async function walk(seed: number): Promise<readonly string[]> {
    const random = new RandomSource(seed);
    const pick = (count: number) => Math.floor(random.nextFraction() * count);
    const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    const stopped = new Set<string>();
    const storeCut = new Set<string>();
    const start = (host: string) => {
        run.startHost(host);
        run.setServersCut(host, ["s"], true);
        stopped.delete(host);
        storeCut.delete(host);
    };
    run.startHost("a");
    await run.run(1_000);
    OTHERS.forEach(start);
    await run.run(3_000);
    run.setStoreCut("a", true);
    run.register("s", undefined);
    for (let step = 0; step < STEPS; step++) {
        await run.run(random.nextFraction() * LONGEST_STEP_MS);
        const coordinator = run.terms.at(-1)!.split(" ")[0]!;
        const host = pick(2) === 0 && coordinator !== "a" ? coordinator : OTHERS[pick(OTHERS.length)]!;
        const action = pick(6);
        if (stopped.has(host)) {
            start(host);
            OTHERS.filter(other => other !== host && !stopped.has(other)).forEach(other =>
                run.report(host, other)
            );
        }
        else if (action <= 1) {
            run.stopHost(host);
            stopped.add(host);
        }
        else if (action === 2) {
            run.crashHost(host);
            stopped.add(host);
        }
        else if (action === 3) {
            const isCut = !storeCut.has(host);
            run.setStoreCut(host, isCut);
            if (isCut) {
                storeCut.add(host);
            }
            else {
                storeCut.delete(host);
            }
        }
        else if (action === 4) {
            run.register("p", pick(2) === 0 ? undefined : createRegisteredServer("p"));
        }
        else {
            run.maps.lostAnswers = pick(3);
        }
    }
    run.setStoreCut("a", false);
    await run.run(25_000);
    return run.checker.violations;
}

// Guards against two owners of a key: the lease changes hands again and again while the first coordinator may renew grants.
test.each(SEEDS)("seed %i: successors that come and go wait for the first coordinator", async seed => {
    expect(await walk(seed)).toEqual([]);
});
