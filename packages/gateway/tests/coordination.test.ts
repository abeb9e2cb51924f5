import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const OWNERS = ["s", "p", "q", "s", "p", "q", "s", "p", "q"];

/** Starts hosts `a` and `b`; `a` coordinates. */
async function start() {
    const cluster = new SimulatedCluster(OWNERS);
    cluster.startHost("a");
    await cluster.run(1_000);
    cluster.startHost("b");
    await cluster.run(4_000);
    return cluster;
}

test("one of two connected hosts coordinates, and every key is served", async () => {
    const cluster = await start();
    const before = cluster.served;
    await cluster.run(30_000);
    expect(cluster.terms).toEqual(["a 1"]);
    expect(cluster.checker.violations).toEqual([]);
    expect(cluster.served - before).toBe(OWNERS.length * 30_000);
});

/** Host `a` and server `s` are partitioned from all others; `b` has taken the lease over, and `c` has started. */
async function startPartitioned() {
    const cluster = await start();
    cluster.setStoreCut("a", true);
    cluster.setServersCut("b", ["s"], true);
    cluster.register("s", undefined);
    await cluster.run(3_300);
    expect(cluster.terms).toEqual(["a 1", "b 2"]);
    cluster.startHost("c");
    cluster.setServersCut("c", ["s"], true);
    await cluster.run(300);
    return cluster;
}

test("a coordinator waits for grants that its predecessor, partitioned from the store, may renew", async () => {
    const cluster = await startPartitioned();
    await cluster.run(30_000);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a coordinator waits only for its last predecessor, while an older one goes on renewing grants.
test("a coordinator that follows one that gave the lease up waits for an older one that may renew grants", async () => {
    const cluster = await startPartitioned();
    cluster.stopHost("b");
    await cluster.run(30_000);
    expect(cluster.terms).toEqual(["a 1", "b 2", "c 3"]);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against the same when the last predecessor crashes and its host reports under a new incarnation.
test("a coordinator whose predecessor's host restarts waits for an older one that may renew grants", async () => {
    const cluster = await startPartitioned();
    cluster.crashHost("b");
    await cluster.run(3_000);
    expect(cluster.terms).toEqual(["a 1", "b 2", "c 3"]);
    cluster.startHost("b");
    cluster.report("b", "c");
    await cluster.run(30_000);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against the same when the last predecessor's host restarts and coordinates itself.
test("a coordinator that takes over from its host's earlier incarnation waits for an older one that may renew grants", async () => {
    const cluster = await startPartitioned();
    cluster.crashHost("b");
    cluster.startHost("b");
    cluster.setServersCut("b", ["s"], true);
    await cluster.run(30_000);
    expect(cluster.terms).toEqual(["a 1", "b 2", "b 3"]);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a successor's commits, also those read back after a lost answer, remove an earlier owner.
test.each([["arrive", 0], ["are lost", 2]])(
    "a successor's commits, whose answers %s, remove no earlier owner that may hold keys",
    async (_, lostAnswers) => {
        const cluster = new SimulatedCluster(["s", "p", "q", "r", "s", "p", "q", "r"]);
        cluster.startHost("a");
        await cluster.run(1_000);
        cluster.startHost("b");
        await cluster.run(4_000);
        // Server s still holds its keys for 9 s; a gives them to the others.
        cluster.setServersCut("a", ["s"], true);
        cluster.setServersCut("b", ["s"], true);
        cluster.register("s", undefined);
        await cluster.run(5_500);
        cluster.stopHost("a");
        await cluster.run(600);
        expect(cluster.terms).toEqual(["a 1", "b 2"]);
        cluster.maps.lostAnswers = lostAnswers;
        for (const id of ["p", "q"]) {
            cluster.register(id, undefined);
            await cluster.run(300);
        }
        await cluster.run(15_000);
        expect(cluster.maps.lostAnswers).toBe(0);
        expect(cluster.checker.violations).toEqual([]);
    },
);

// Guards against two owners of a key: a refused write unfreezes ranges while an earlier, unanswered write can still take effect.
test("an unanswered write that takes effect after a refused one gives no key a second owner", async () => {
    const cluster = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    cluster.startHost("a");
    await cluster.run(5_000);
    cluster.setServersCut("a", ["s"], true);
    cluster.register("s", undefined);
    // The keys of s are committed to p and q, which wait until its grants have expired.
    await cluster.run(8_000);
    cluster.maps.lateWrites = 1;
    cluster.maps.lateMs = 5_000;
    cluster.register("p", undefined);
    await cluster.run(100);
    expect(cluster.maps.lateWrites).toBe(0);
    cluster.maps.isRefusing = true;
    await cluster.run(6_000);
    cluster.maps.isRefusing = false;
    await cluster.run(5_000);
    expect(cluster.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a coordinator that is partitioned from the store renews grants at a new incarnation's address.
test("a new incarnation that receives renewals meant for the earlier one shares no key with the next owner", async () => {
    const cluster = await startPartitioned();
    cluster.startServer("s");
    cluster.setServersCut("b", ["s"], false);
    await cluster.run(30_000);
    expect(cluster.checker.violations).toEqual([]);
});
