import fc from "fast-check";
import { expect, test } from "vitest";
import { runKeyed } from "../src/experiments/runKeyed.js";
import { runPooled } from "../src/experiments/runPooled.js";
import type { Fault } from "../src/simulation/fault.js";
import type { Tally } from "../src/statistics/tally.js";
import { PROFILES } from "../src/workload/profiles.js";

const SMALL_KEYED = { ...PROFILES.gustboard, servers: 3, keys: 30 };
const SMALL_POOLED = { ...PROFILES.reservas, servers: 3 };
const ADMISSION = { mode: "relay", queueMode: "admission", limit: 5 } as const;
const KINDS = ["freeze", "slow", "cold", "lying", "shed", "restart"] as const;

test("a small run at twice the capacity gives the same figures each time", async () => {
    const run = { seed: 7, profile: SMALL_KEYED, use: 2, durationMs: 500, ...ADMISSION };
    const first = await runKeyed(run);
    const second = await runKeyed(run);
    expect(getFigures(second.tally)).toEqual(getFigures(first.tally));
    expect(getFigures(first.tally)).toMatchSnapshot();
});

test("a small pooled run with a server that freezes", async () => {
    const faults = [{ kind: "freeze", from: 100, until: 900 }] as const;
    const run = { seed: 7, profile: SMALL_POOLED, use: 0.6, durationMs: 1_000, faults, picker: {} };
    expect(getFigures((await runPooled(run)).tally)).toMatchSnapshot();
});

test("whatever fails, a refusal is true and no request that must not be repeated runs twice", async () => {
    const faultArbitrary: fc.Arbitrary<Fault> = fc.record({
        kind: fc.constantFrom(...KINDS),
        from: fc.integer({ min: 0, max: 300 }),
        until: fc.integer({ min: 301, max: 900 }),
    });
    const loadArbitrary = fc.record({
        seed: fc.nat(1_000),
        use: fc.double({ min: 0.3, max: 4, noNaN: true }),
        faults: fc.array(faultArbitrary, { maxLength: 3 }),
    });
    await fc.assert(
        fc.asyncProperty(loadArbitrary, async load => {
            const pooled = {
                ...load,
                profile: SMALL_POOLED,
                durationMs: 400,
                picker: {},
                isEverywhere: true,
            };
            const keyed = { ...load, profile: SMALL_KEYED, durationMs: 400, ...ADMISSION };
            for (const figures of [await runPooled(pooled), await runKeyed(keyed)]) {
                expect({ false: figures.falseRefusals, repeated: figures.repeated }).toEqual({
                    false: 0,
                    repeated: 0,
                });
            }
        }),
        { seed: 1, numRuns: 25 },
    );
});

function getFigures(tally: Tally): object {
    return { read: tally.getSummary("read"), once: tally.getSummary("once"), reasons: tally.getReasons() };
}
