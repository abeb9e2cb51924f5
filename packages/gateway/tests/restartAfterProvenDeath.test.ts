import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

// Guards against two owners of a key: a server that was proved dead restarts with the same id and address, and receives renewals that a
// coordinator, partitioned from the store, sends to the earlier incarnation.
test("a server that restarts after it was proved dead takes no keys that others own", async () => {
    const cluster = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    cluster.startHost("a");
    await cluster.run(1_000);
    cluster.startHost("b");
    await cluster.run(4_000);
    cluster.setStoreCut("a", true);
    await cluster.run(3_000);
    expect(cluster.terms).toEqual(["a 1", "b 2"]);
    cluster.endServer("s");
    cluster.reuseAddress("s");
    cluster.register("s", undefined);
    await cluster.run(3_500);
    cluster.startServer("s");
    await cluster.run(20_000);
    expect(cluster.checker.violations).toEqual([]);
});
