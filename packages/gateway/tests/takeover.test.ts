import { expect, test } from "vitest";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import { createHolder } from "./support/createHolder.js";
import { ServiceCoordinatorHarness } from "./support/serviceCoordinatorHarness.js";

const STRIPE_KEYS = 128;

/** Creates a map with keys of `a` and `b`; a quarter of them came from `s`, which has not answered a release of them yet. */
function createMap() {
    const map = assignInitialKeys([createHolder("a"), createHolder("b")], STRIPE_KEYS, 1, 1);
    const ranges = map.ranges.map((range, index) =>
        index % 4 === 0 ? { ...range, previous: [createHolder("s")] } : range
    );
    return { ...map, ranges };
}

// Guards against keys that nobody serves: a successor takes a partitioned server, whose keys were just given to others, for one that joins,
// and gives it keys that are unserved until its grants have expired.
test("a server that the inherited map lists gets no keys before it has answered", async () => {
    const harness = new ServiceCoordinatorHarness(["a", "b", "s"]);
    harness.orders.unresponsive.add(createHolder("s").id);
    await harness.inherit(createMap());
    await harness.run(5_000);
    expect(harness.countRanges("s")).toBe(0);
    harness.orders.unresponsive.clear();
    await harness.run(5_000);
    expect(harness.countRanges("s")).toBeGreaterThan(0);
});

test("a server that no map lists gets its share at once", async () => {
    const harness = new ServiceCoordinatorHarness(["a", "b", "new"]);
    await harness.inherit(createMap());
    await harness.run(1_000);
    expect(harness.countRanges("new")).toBeGreaterThan(0);
});

// Guards against a server that gets no keys any more: nothing is sent to it once its last grant has expired, so it stays unresponsive.
test.each([["owns keys", ["a", "b", "s"]], ["has lost its keys", ["a", "b"]]])(
    "a server that %s at the takeover and is partitioned for longer than a grant is valid gets keys again",
    async (_, owners) => {
        const harness = new ServiceCoordinatorHarness(["a", "b", "s"]);
        harness.orders.unresponsive.add(createHolder("s").id);
        const map = createMap();
        const holders = owners.map(id => createHolder(id));
        const ranges = map.ranges.map((range, index) => ({
            ...range,
            owner: holders[index % holders.length]!,
        }));
        await harness.inherit({ ...map, ranges });
        await harness.run(25_000);
        harness.orders.unresponsive.clear();
        const before = harness.countRangesNow("s");
        await harness.run(5_000);
        expect(before).toBe(0);
        expect(harness.countRangesNow("s")).toBeGreaterThan(0);
    },
);
