import { expect, test } from "vitest";
import { CoordinationFuzzer } from "./support/coordinationFuzzer.js";

const RUN_MS = 60_000;
const SETTLING_MS = 5_000;
const KEYS = 15;
const NO_FAULTS = { storeCut: 0, restart: 0, serverCut: 0, end: 0, missing: 0, lostAnswer: 0 };
const ALL_FAULTS = {
    storeCut: 0.01,
    restart: 0.008,
    serverCut: 0.015,
    end: 0.004,
    missing: 0.008,
    lostAnswer: 0.02,
};
const ISOLATIONS = { ...ALL_FAULTS, isolation: 0.012 };
const ISOLATION_SEEDS = Array.from({ length: 24 }, (_, index) => 9_100 + index);
const SEEDS = Array.from({ length: 24 }, (_, index) => 9_000 + index);

test("without faults every key is served all the time after the first grants", async () => {
    const fuzzer = new CoordinationFuzzer(1, NO_FAULTS);
    await fuzzer.simulate(SETTLING_MS);
    const before = fuzzer.cluster.served;
    await fuzzer.simulate(RUN_MS);
    expect(fuzzer.cluster.checker.violations).toEqual([]);
    expect(fuzzer.cluster.served - before).toBe(KEYS * RUN_MS);
});

// Guards against two owners of a key: series of takeovers, partitions, ends of servers and lost answers, with the real classes of the
// coordinator.
test.each(SEEDS)(
    "seed %i: no key has two holders or too low a fencing token while hosts, servers, links and the store fail",
    async seed => {
        const fuzzer = new CoordinationFuzzer(seed, ALL_FAULTS);
        await fuzzer.simulate(RUN_MS);
        expect(fuzzer.cluster.checker.violations).toEqual([]);
        // Keys must be served most of the time: a system that serves nothing has no violations either.
        expect(fuzzer.cluster.served).toBeGreaterThan(KEYS * RUN_MS / 3);
    },
);

// Guards against two owners of a key: a server that is cut off alone, with connections to it refused and its entry gone, was taken for ended.
test.each(ISOLATION_SEEDS)(
    "seed %i: no key has two holders while servers that run are cut off and their entries lapse",
    async seed => {
        const fuzzer = new CoordinationFuzzer(seed, ISOLATIONS);
        await fuzzer.simulate(RUN_MS);
        expect(fuzzer.cluster.checker.violations).toEqual([]);
        expect(fuzzer.cluster.served).toBeGreaterThan(KEYS * RUN_MS / 3);
    },
);
