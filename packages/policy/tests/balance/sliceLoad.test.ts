import { RandomSource, type SliceId } from "@arbutusdoor/common";
import { expect, test } from "vitest";
import { mergeReports, SliceLoad, SliceLoadSettings } from "../../src/index.js";

const SETTINGS = SliceLoadSettings.parse({ maxKeys: 16, reportedKeys: 2, maxSlices: 4 });

test("loads are slots kept busy, the hottest key is found among many, and past load decays", () => {
    const random = new RandomSource(7);
    const load = new SliceLoad(SETTINGS, 0);
    for (let now = 0; now < 30_000; now += 10) {
        const isHot = random.nextFraction() < 0.3;
        const slice = (isHot ? "slice-0" : `slice-${random.nextInteger(3)}`) as SliceId;
        load.record(slice, isHot ? "hot" : `key-${random.nextInteger(500)}`, 5, now);
    }
    const busy = load.getReport(30_000);
    const later = load.getReport(60_000);
    expect(busy.topKeys[0]).toMatchObject({ slice: "slice-0", key: "hot" });
    expect(busy.topKeys[0]!.load).toBeGreaterThan(0.1);
    expect(sum(busy.slices)).toBeCloseTo(0.5, 1);
    expect(sum(later.slices)).toBeCloseTo(0.5 / 8, 1);
});

test("slices and keys beyond the limits take no memory", () => {
    const load = new SliceLoad(SETTINGS, 0);
    for (let index = 0; index < 1_000; index++) {
        load.record(`slice-${index}` as SliceId, `key-${index}`, 1, index);
    }
    const report = load.getReport(1_000);
    expect([report.slices.length, report.topKeys.length]).toEqual([4, 2]);
});

test("the sum of several hosts' reports does not depend on their order", () => {
    const reports = ["b", "a", "b"].map((name, index) => {
        const load = new SliceLoad(SETTINGS, 0);
        load.record(name as SliceId, "key", 100 * (index + 1), 1_000);
        return load.getReport(1_000);
    });
    const merged = mergeReports(reports);
    expect(mergeReports([...reports].reverse())).toEqual(merged);
    expect(merged.slices.map(({ slice }) => slice)).toEqual(["a", "b"]);
});

function sum(slices: readonly { readonly load: number; }[]): number {
    return slices.reduce((total, { load }) => total + load, 0);
}
