import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

// Guards against two owners of a key: a server that is proved gone starts again under its id and address, and takes the renewals that a
// coordinator, cut off from the store, sends for the life before.
test("a server that starts again after its end was proved takes no keys that others own", async () => {
    const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    run.startHost("a");
    await run.run(1_000);
    run.startHost("b");
    await run.run(4_000);
    run.setStoreCut("a", true);
    await run.run(3_000);
    expect(run.terms).toEqual(["a 1", "b 2"]);
    run.endServer("s");
    run.register("s", undefined);
    await run.run(3_500);
    run.startServer("s");
    await run.run(20_000);
    expect(run.checker.violations).toEqual([]);
});
