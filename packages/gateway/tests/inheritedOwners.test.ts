import { expect, test } from "vitest";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { createHolder } from "./support/createHolder.js";
import { SchedulerHarness } from "./support/schedulerHarness.js";

/** Time within which a grant is to follow once nothing stands in its way. */
const SOON_MS = 1_000;
const TICK_MS = 20;

/** Keys 0 to 9 are on their way from `s`, which may hold them still, to `p`. */
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

/** Takes over from a predecessor whose last grant to `s` may have been sent as late as this allows. */
function takeOver(isEnded: boolean) {
    const run = new SchedulerHarness(INHERITED, true);
    if (isEnded) {
        run.endPredecessor();
    }
    return { run, clearedAt: run.expiryMs + (isEnded ? 0 : run.settings.renewalAuthorityMs) };
}

function expectGrantAt(run: SchedulerHarness, key: number, id: string, clearedAt: number): void {
    run.run(clearedAt + SOON_MS);
    expect(run.findGrantTime(key, id)).toBeGreaterThanOrEqual(clearedAt);
    expect(run.findGrantTime(key, id)).toBeLessThan(clearedAt + SOON_MS);
}

// Guards against two owners of a key: an inherited earlier owner counted as cleared once its range had a fence of the successor's own.
test.each(PREDECESSORS)(
    "after %s, a range that is moved after commits of other ranges waits for its inherited earlier owner",
    (_, isEnded) => {
        const { clearedAt, run } = takeOver(isEnded);
        run.move(10, 19, "p");
        run.move(10, 19, "q");
        run.move(0, 9, "q");
        expectGrantAt(run, 0, "q", clearedAt);
    },
);

// Guards against the same where the successor moves the range itself twice.
test.each(PREDECESSORS)(
    "after %s, a range that is moved twice waits for its inherited earlier owner",
    (_, isEnded) => {
        const { clearedAt, run } = takeOver(isEnded);
        run.move(0, 9, "q");
        run.run(100);
        run.move(0, 9, "p");
        expectGrantAt(run, 0, "p", clearedAt);
    },
);

// Guards against the same where only a part of the range is moved, and a part of that again.
test.each(PREDECESSORS)(
    "after %s, parts that are split off a range and moved wait for its inherited earlier owner",
    (_, isEnded) => {
        const { clearedAt, run } = takeOver(isEnded);
        run.move(4, 7, "q");
        run.run(100);
        run.move(5, 6, "r");
        expectGrantAt(run, 5, "r", clearedAt);
        expect(run.findGrantTime(0, "p")).toBeGreaterThanOrEqual(clearedAt);
        expect(run.findGrantTime(4, "q")).toBeGreaterThanOrEqual(clearedAt);
    },
);

// Guards against the same where the range is given back in between: its earlier owner is then the owner, who got no grant yet.
test.each(PREDECESSORS)(
    "after %s, a range that is given back to its inherited earlier owner and taken away again waits for it",
    (_, isEnded) => {
        const { clearedAt, run } = takeOver(isEnded);
        run.move(0, 9, "s");
        run.move(0, 9, "q");
        expectGrantAt(run, 0, "q", clearedAt);
    },
);

// Guards against the same where the grant was sent: it ended the wait for what the predecessor may send later.
test("a range that goes back to its inherited earlier owner, is granted and goes away waits for the predecessor's last grant", () => {
    const { clearedAt, run } = takeOver(false);
    run.move(0, 9, "s");
    run.run(100);
    run.move(0, 9, "q");
    expectGrantAt(run, 0, "q", clearedAt);
});

// Guards against the same without a takeover: of the ranges of a silent server one is granted in a tick.
test("ranges of a silent server that go away, back to it and away again wait for its last grants", () => {
    const [p, s] = [createHolder("p"), createHolder("s")];
    const run = new SchedulerHarness({
        term: 1,
        fence: 1,
        ranges: [
            { first: 0, last: 4, owner: s, fence: 1, previous: [] },
            { first: 5, last: 9, owner: s, fence: 1, previous: [] },
            { first: 10, last: 19, owner: p, fence: 1, previous: [] },
        ],
    }, false);
    run.run(1_000);
    for (const owner of ["p", "s", "q"]) {
        run.move(0, 4, owner);
        run.move(5, 9, owner);
        run.run(TICK_MS);
    }
    run.run(run.expiryMs);
    for (const key of [0, 5]) {
        const clearedAt = run.findLastGrantTime(key, "s") + run.expiryMs;
        expectGrantAt(run, key, "q", clearedAt);
    }
});
