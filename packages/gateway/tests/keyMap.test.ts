import fc from "fast-check";
import { expect, test } from "vitest";
import { applyChanges } from "../src/ownership/applyChanges.js";
import { assignInitialKeys } from "../src/ownership/assignInitialKeys.js";
import { decodeKeyMap } from "../src/ownership/decodeKeyMap.js";
import { encodeKeyMap } from "../src/ownership/encodeKeyMap.js";
import { KEY_COUNT } from "../src/ownership/keyCount.js";
import type { KeyMap } from "../src/ownership/keyMap.js";
import { listDifferences } from "../src/ownership/listDifferences.js";
import { patchKeyMap } from "../src/ownership/patchKeyMap.js";
import { createHolder } from "./support/createHolder.js";

const HOLDERS = ["a", "b", "c"].map(id => createHolder(id));
const EMPTY: KeyMap = { term: 1, fence: 0, ranges: [] };

/** Sequences of maps: an initial assignment, then random changes. */
const histories = fc.array(
    fc.record({
        at: fc.nat({ max: 31 }),
        from: fc.nat({ max: 2_047 }),
        keys: fc.integer({ min: 1, max: 2_048 }),
        owner: fc.constantFrom(...HOLDERS),
        hasStopped: fc.boolean(),
        limit: fc.option(fc.nat(), { nil: undefined }),
    }),
    { maxLength: 12 },
).map(steps => {
    const maps: KeyMap[] = [EMPTY, assignInitialKeys(HOLDERS, 2_048, 1, 1)];
    for (const { at, from, hasStopped, keys, limit, owner } of steps) {
        const map = maps.at(-1)!;
        const range = map.ranges[at % map.ranges.length]!;
        const first = Math.min(range.last, range.first + from);
        const last = Math.min(range.last, first + keys - 1);
        maps.push(applyChanges(map, 2, [{ first, last, owner }], () => hasStopped, () => limit));
    }
    return maps;
});

test("encoding and decoding preserves a map", () => {
    fc.assert(fc.property(histories, maps => {
        maps.forEach(map => expect(decodeKeyMap(encodeKeyMap(map))).toEqual(map));
    }));
});

test("differences turn any map into the next, also none into the initial assignment", () => {
    fc.assert(fc.property(histories, maps => {
        maps.slice(1).forEach((after, index) => {
            const before = maps[index]!;
            const patched = patchKeyMap(before, after.term, after.fence, listDifferences(before, after));
            expect(patched).toEqual(after);
        });
    }));
});

test("changes keep all keys covered, and no range has a higher fencing token than the map", () => {
    fc.assert(fc.property(histories, maps => {
        const { ranges } = maps.at(-1)!;
        expect(ranges[0]!.first).toBe(0);
        expect(ranges.at(-1)!.last).toBe(KEY_COUNT - 1);
        ranges.slice(1).forEach((range, index) => expect(range.first).toBe(ranges[index]!.last + 1));
        expect(Math.max(...ranges.map(({ fence }) => fence))).toBeLessThanOrEqual(maps.at(-1)!.fence);
    }));
});

test("bytes that are not a map are refused with the reason", () => {
    const { ranges } = assignInitialKeys(HOLDERS, 2_048, 1, 1);
    const cut = encodeKeyMap({ term: 1, fence: 1, ranges: ranges.slice(0, 3) });
    expect(() => decodeKeyMap(cut)).toThrowErrorMatchingInlineSnapshot(
        "[InputError: the ranges do not cover all keys]",
    );
    expect(() => decodeKeyMap(Buffer.from([1]))).toThrow("not a map of keys");
});
