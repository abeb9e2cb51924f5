import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

/** Host `a` coordinated and is partitioned from the store; `b` has taken over and has given the keys of `s`, which is gone, to others. */
async function replaceCoordinator() {
    const cluster = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    cluster.startHost("a");
    await cluster.run(1_000);
    cluster.startHost("b");
    await cluster.run(4_000);
    cluster.setStoreCut("a", true);
    for (const host of ["a", "b"]) {
        cluster.setServersCut(host, ["s"], true);
    }
    cluster.register("s", undefined);
    await cluster.run(5_000);
    expect(cluster.terms).toEqual(["a 1", "b 2"]);
    return cluster;
}

// Guards against two owners of a key: the earlier incarnation of a restarted server counts as stopped, yet the new one receives the
// renewals that a coordinator, partitioned from the store, sends to the earlier one.
test.each([["is partitioned", true], ["has ended", false]])(
    "a new incarnation of a server takes no keys that others own, when the earlier coordinator %s",
    async (_, goesOn) => {
        const cluster = await replaceCoordinator();
        if (!goesOn) {
            cluster.crashHost("a");
        }
        cluster.startServer("s");
        for (const host of ["a", "b"]) {
            cluster.setServersCut(host, ["s"], false);
        }
        await cluster.run(30_000);
        expect(cluster.checker.violations).toEqual([]);
    },
);
