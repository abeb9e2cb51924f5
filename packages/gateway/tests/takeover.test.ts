import { expect, test } from "vitest";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import { createHolder } from "./support/createHolder.js";
import { ServiceCoordinatorHarness } from "./support/serviceCoordinatorHarness.js";

const STRIPE_KEYS = 128;

/** Keys of `a` and `b`; a quarter of them came from `s`, which has not been heard to let go of them. */
function newMap() {
    const map = assignInitialKeys([createHolder("a"), createHolder("b")], STRIPE_KEYS, 1, 1);
    const ranges = map.ranges.map((range, index) =>
        index % 4 === 0 ? { ...range, previous: [createHolder("s")] } : range
    );
    return { ...map, ranges };
}

// Guards against keys that nobody serves for a hold: a successor took a server behind a cut, whose keys had just been given to others,
// for one that joins, and gave it keys which were then lost until its grants had lapsed.
test("a server that the inherited map names gets no keys before it has answered", async () => {
    const session = new ServiceCoordinatorHarness(["a", "b", "s"]);
    session.orders.silent.add(createHolder("s").id);
    await session.inherit(newMap());
    await session.run(5_000);
    expect(session.countRanges("s")).toBe(0);
    session.orders.silent.clear();
    await session.run(5_000);
    expect(session.countRanges("s")).toBeGreaterThan(0);
});

test("a server that no map has named gets its share at once", async () => {
    const session = new ServiceCoordinatorHarness(["a", "b", "new"]);
    await session.inherit(newMap());
    await session.run(1_000);
    expect(session.countRanges("new")).toBeGreaterThan(0);
});

// Guards against a server that gets no keys any more: nothing was sent to it once its last grant had lapsed, so it stayed silent.
test.each([["owns keys", ["a", "b", "s"]], ["has lost its keys", ["a", "b"]]])(
    "a server that %s at the takeover and is cut off for longer than a hold gets keys again",
    async (_, owners) => {
        const session = new ServiceCoordinatorHarness(["a", "b", "s"]);
        session.orders.silent.add(createHolder("s").id);
        const map = newMap();
        const holders = owners.map(id => createHolder(id));
        const ranges = map.ranges.map((range, index) => ({
            ...range,
            owner: holders[index % holders.length]!,
        }));
        await session.inherit({ ...map, ranges });
        await session.run(25_000);
        session.orders.silent.clear();
        const before = session.countRangesNow("s");
        await session.run(5_000);
        expect(before).toBe(0);
        expect(session.countRangesNow("s")).toBeGreaterThan(0);
    },
);
