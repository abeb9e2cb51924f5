import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

/** Time after the return of the hosts within which service has to be back. */
const RECOVERY_MS = 15_000;
const CHECK_MS = 1_000;
const OWNERS = ["s", "p", "q", "s", "p", "q"];

// Guards against keys that stay without an owner after all hosts were lost: each new coordinator waits as long for a server that is gone as if
// the last grant to it had been sent just before its own election.
test("the keys of a lost server are served again 15 s after the hosts' return, though these are lost twice more", async () => {
    const cluster = new SimulatedCluster(OWNERS);
    cluster.startHost("a");
    await cluster.run(3_000);
    cluster.crashHost("a");
    cluster.endServer("s");
    cluster.register("s", undefined);
    await cluster.run(1_000);
    cluster.startHost("a");
    for (let loss = 0; loss < 2; loss++) {
        await cluster.run(5_000);
        cluster.crashHost("a");
        await cluster.run(500);
        cluster.startHost("a");
    }
    await cluster.run(RECOVERY_MS - 2 * 5_500);
    expect(await cluster.isServedFor(CHECK_MS)).toBe(true);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against keys that stay without an owner after a partition: the new coordinator waits until its predecessor's time is over although the
// predecessor is back and follows it.
test("the keys of a lost server are served again 15 s after the return of the coordinator that was partitioned", async () => {
    const cluster = new SimulatedCluster(OWNERS);
    cluster.startHost("a");
    await cluster.run(1_000);
    cluster.startHost("b");
    cluster.setServersCut("b", ["s"], true);
    await cluster.run(2_000);
    cluster.setStoreCut("a", true);
    cluster.endServer("s");
    cluster.register("s", undefined);
    await cluster.run(5_000);
    cluster.setStoreCut("a", false);
    await cluster.run(1_000);
    cluster.report("a", "b");
    await cluster.run(RECOVERY_MS - 1_000 - CHECK_MS);
    expect(await cluster.isServedFor(CHECK_MS)).toBe(true);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against two owners of a key: what a host followed before it coordinated itself says nothing about its own grants.
test("a report of a host that followed an earlier coordinator does not shorten the wait for its grants", async () => {
    const cluster = new SimulatedCluster(OWNERS);
    cluster.startHost("c");
    await cluster.run(1_000);
    cluster.startHost("a");
    await cluster.run(1_000);
    cluster.stopHost("c");
    await cluster.run(1_000);
    cluster.startHost("b");
    cluster.setServersCut("b", ["s"], true);
    await cluster.run(2_000);
    cluster.setStoreCut("a", true);
    cluster.register("s", undefined);
    for (let second = 0; second < 30; second++) {
        await cluster.run(1_000);
        cluster.report("a", "b");
    }
    expect(cluster.terms).toEqual(["c 1", "a 2", "b 3"]);
    expect(cluster.checker.violations).toEqual([]);
});
