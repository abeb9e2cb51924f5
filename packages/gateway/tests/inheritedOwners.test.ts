import { expect, test } from "vitest";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { createHolder } from "./support/createHolder.js";
import { SchedulerHarness } from "./support/schedulerHarness.js";

/** Time within which a grant must follow once the earlier owners have stopped. */
const SOON_MS = 1_000;
const TICK_MS = 20;

/** Keys 0 to 9 move from `s`, which may still hold them, to `p`. */
const INHERITED: KeyMap = {
    term: 2,
    fence: 90,
    ranges: [
        { first: 0, last: 9, owner: createHolder("p"), fence: 88, previous: [createHolder("s")] },
        { first: 10, last: 19, owner: createHolder("q"), fence: 90, previous: [] },
    ],
};

const PREDECESSORS: readonly (readonly [predecessor: string, isEnded: boolean])[] = [
    ["a predecessor that may go on renewing", false],
    ["a predecessor that has ended", true],
];

/** Takes over from a predecessor whose last grant to `s` may have been sent as late as possible; `s` has stopped at `stoppedAt`. */
function takeOver(isEnded: boolean) {
    const harness = new SchedulerHarness(INHERITED, true);
    if (isEnded) {
        harness.endPredecessor();
    }
    return { harness, stoppedAt: harness.expiryMs + (isEnded ? 0 : harness.settings.renewalAuthorityMs) };
}

function expectGrantAt(harness: SchedulerHarness, key: number, id: string, stoppedAt: number): void {
    harness.run(stoppedAt + SOON_MS);
    expect(harness.findGrantTime(key, id)).toBeGreaterThanOrEqual(stoppedAt);
    expect(harness.findGrantTime(key, id)).toBeLessThan(stoppedAt + SOON_MS);
}

// Guards against two owners of a key: an inherited earlier owner counts as stopped once its range has a fencing token of the successor.
test.each(PREDECESSORS)(
    "after %s, a range that is moved after commits of other ranges waits for its inherited earlier owner",
    (_, isEnded) => {
        const { stoppedAt, harness } = takeOver(isEnded);
        harness.move(10, 19, "p");
        harness.move(10, 19, "q");
        harness.move(0, 9, "q");
        expectGrantAt(harness, 0, "q", stoppedAt);
    },
);

// Guards against the same when the successor itself moves the range twice.
test.each(PREDECESSORS)(
    "after %s, a range that is moved twice waits for its inherited earlier owner",
    (_, isEnded) => {
        const { stoppedAt, harness } = takeOver(isEnded);
        harness.move(0, 9, "q");
        harness.run(100);
        harness.move(0, 9, "p");
        expectGrantAt(harness, 0, "p", stoppedAt);
    },
);

// Guards against the same when only a part of the range is moved, and then a part of that.
test.each(PREDECESSORS)(
    "after %s, parts that are split off a range and moved wait for its inherited earlier owner",
    (_, isEnded) => {
        const { stoppedAt, harness } = takeOver(isEnded);
        harness.move(4, 7, "q");
        harness.run(100);
        harness.move(5, 6, "r");
        expectGrantAt(harness, 5, "r", stoppedAt);
        expect(harness.findGrantTime(0, "p")).toBeGreaterThanOrEqual(stoppedAt);
        expect(harness.findGrantTime(4, "q")).toBeGreaterThanOrEqual(stoppedAt);
    },
);

// Guards against the same when the range is given back in between: its earlier owner is then the owner, without a grant yet.
test.each(PREDECESSORS)(
    "after %s, a range that is given back to its inherited earlier owner and taken away again waits for it",
    (_, isEnded) => {
        const { stoppedAt, harness } = takeOver(isEnded);
        harness.move(0, 9, "s");
        harness.move(0, 9, "q");
        expectGrantAt(harness, 0, "q", stoppedAt);
    },
);

// Guards against the same when a grant was sent after that: it ends the wait for what the predecessor may send later.
test("a range that is given back to its inherited earlier owner, granted and taken away waits for the predecessor's last grant", () => {
    const { stoppedAt, harness } = takeOver(false);
    harness.move(0, 9, "s");
    harness.run(100);
    harness.move(0, 9, "q");
    expectGrantAt(harness, 0, "q", stoppedAt);
});

// Guards against the same without a takeover: an unresponsive server gets a grant for only one of its ranges per tick.
test("ranges of an unresponsive server that are taken away, given back and taken away again wait for its last grants", () => {
    const [p, s] = [createHolder("p"), createHolder("s")];
    const harness = new SchedulerHarness({
        term: 1,
        fence: 1,
        ranges: [
            { first: 0, last: 4, owner: s, fence: 1, previous: [] },
            { first: 5, last: 9, owner: s, fence: 1, previous: [] },
            { first: 10, last: 19, owner: p, fence: 1, previous: [] },
        ],
    }, false);
    harness.run(1_000);
    for (const owner of ["p", "s", "q"]) {
        harness.move(0, 4, owner);
        harness.move(5, 9, owner);
        harness.run(TICK_MS);
    }
    harness.run(harness.expiryMs);
    for (const key of [0, 5]) {
        const stoppedAt = harness.findLastGrantTime(key, "s") + harness.expiryMs;
        expectGrantAt(harness, key, "q", stoppedAt);
    }
});
