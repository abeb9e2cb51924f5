import { expect, test } from "vitest";
import { SimulatedCluster } from "./support/simulatedCluster.js";

const OWNERS = ["s", "p", "q", "s", "p", "q", "s", "p", "q"];

/** Hosts `a` and `b`; `a` coordinates. */
async function start() {
    const run = new SimulatedCluster(OWNERS);
    run.startHost("a");
    await run.run(1_000);
    run.startHost("b");
    await run.run(4_000);
    return run;
}

test("with two hosts in touch one coordinates, and every key is served", async () => {
    const run = await start();
    const before = run.served;
    await run.run(30_000);
    expect(run.terms).toEqual(["a 1"]);
    expect(run.checker.violations).toEqual([]);
    expect(run.served - before).toBe(OWNERS.length * 30_000);
});

/** Host `a` and server `s` are cut off from all others; `b` has taken the lease over, and `c` has started. */
async function cutOff() {
    const run = await start();
    run.setStoreCut("a", true);
    run.setServersCut("b", ["s"], true);
    run.register("s", undefined);
    await run.run(3_300);
    expect(run.terms).toEqual(["a 1", "b 2"]);
    run.startHost("c");
    run.setServersCut("c", ["s"], true);
    await run.run(300);
    return run;
}

test("a coordinator waits for what its predecessor, cut off from the store, may renew", async () => {
    const run = await cutOff();
    await run.run(30_000);
    expect(run.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a coordinator waited only for its last predecessor, while an older one went on renewing.
test("a coordinator that follows one that gave the lease up waits for an older one that may renew", async () => {
    const run = await cutOff();
    run.stopHost("b");
    await run.run(30_000);
    expect(run.terms).toEqual(["a 1", "b 2", "c 3"]);
    expect(run.checker.violations).toEqual([]);
});

// Guards against the same where the last predecessor ends without notice, and its host reports under a new incarnation.
test("a coordinator whose predecessor's host starts again waits for an older one that may renew", async () => {
    const run = await cutOff();
    run.crashHost("b");
    await run.run(3_000);
    expect(run.terms).toEqual(["a 1", "b 2", "c 3"]);
    run.startHost("b");
    run.report("b", "c");
    await run.run(30_000);
    expect(run.checker.violations).toEqual([]);
});

// Guards against the same where the last predecessor's host starts again and coordinates itself.
test("a coordinator that takes over from its host's earlier run waits for an older one that may renew", async () => {
    const run = await cutOff();
    run.crashHost("b");
    run.startHost("b");
    run.setServersCut("b", ["s"], true);
    await run.run(30_000);
    expect(run.terms).toEqual(["a 1", "b 2", "b 3"]);
    expect(run.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a successor's commits, also those read back after a lost answer, made it forget an earlier owner.
test.each([["come", 0], ["are lost", 2]])(
    "a successor's commits, whose answers %s, let no earlier owner be forgotten",
    async (_, lostAnswers) => {
        const run = new SimulatedCluster(["s", "p", "q", "r", "s", "p", "q", "r"]);
        run.startHost("a");
        await run.run(1_000);
        run.startHost("b");
        await run.run(4_000);
        // Server s holds its keys for 9 s yet; a gives them to the others.
        run.setServersCut("a", ["s"], true);
        run.setServersCut("b", ["s"], true);
        run.register("s", undefined);
        await run.run(5_500);
        run.stopHost("a");
        await run.run(600);
        expect(run.terms).toEqual(["a 1", "b 2"]);
        run.maps.lostAnswers = lostAnswers;
        for (const id of ["p", "q"]) {
            run.register(id, undefined);
            await run.run(300);
        }
        await run.run(15_000);
        expect(run.maps.lostAnswers).toBe(0);
        expect(run.checker.violations).toEqual([]);
    },
);

// Guards against two owners of a key: a refused write unfroze ranges while an earlier, unanswered write could still take effect.
test("an unanswered write that takes effect after a refused one gives no key a second owner", async () => {
    const run = new SimulatedCluster(["s", "p", "q", "s", "p", "q"]);
    run.startHost("a");
    await run.run(5_000);
    run.setServersCut("a", ["s"], true);
    run.register("s", undefined);
    // The keys of s are committed to p and q, which wait until its grants have lapsed.
    await run.run(8_000);
    run.maps.lateWrites = 1;
    run.maps.lateMs = 5_000;
    run.register("p", undefined);
    await run.run(100);
    expect(run.maps.lateWrites).toBe(0);
    run.maps.isRefusing = true;
    await run.run(6_000);
    run.maps.isRefusing = false;
    await run.run(5_000);
    expect(run.checker.violations).toEqual([]);
});

// Guards against two owners of a key: a coordinator that is cut off from the store renews grants at a new life's address.
test("a new life that takes renewals meant for the one before shares no key with the next owner", async () => {
    const run = await cutOff();
    run.startServer("s");
    run.setServersCut("b", ["s"], false);
    await run.run(30_000);
    expect(run.checker.violations).toEqual([]);
});
