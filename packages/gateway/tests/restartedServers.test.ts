import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

/** Host `a` coordinated and is cut off from the store; `b` has taken over and has given the keys of `s`, which is gone, to others. */
async function replaceCoordinator() {
    const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    run.startHost("a");
    await run.run(1_000);
    run.startHost("b");
    await run.run(4_000);
    run.setStoreCut("a", true);
    for (const host of ["a", "b"]) {
        run.setServersCut(host, ["s"], true);
    }
    run.register("s", undefined);
    await run.run(5_000);
    expect(run.terms).toEqual(["a 1", "b 2"]);
    return run;
}

// Guards against two owners of a key: a server that starts again under its id is taken for cleared, yet takes the renewals that a
// coordinator, cut off from the store, sends for the life before.
test.each([["is cut off", true], ["has ended", false]])(
    "a new life of a server under its old id takes no keys that others own, when the coordinator before %s",
    async (_, goesOn) => {
        const run = await replaceCoordinator();
        if (!goesOn) {
            run.crashHost("a");
        }
        run.startServer("s");
        for (const host of ["a", "b"]) {
            run.setServersCut(host, ["s"], false);
        }
        await run.run(30_000);
        expect(run.checker.violations).toEqual([]);
    },
);
