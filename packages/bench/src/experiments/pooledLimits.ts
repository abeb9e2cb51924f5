import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runPooled } from "./runPooled.js";

const NAME = "pooled-limits";
const DURATION_MS = 4_000;
const LIMITS = [1, 2, 4, 11];

const SITUATIONS = [
    { use: 0.6, firstHostShare: 0.1 },
    { use: 0.6, firstHostShare: 0.7 },
    { use: 0.9, firstHostShare: 0.1 },
    { use: 2, firstHostShare: 0.1 },
    { use: 5, firstHostShare: 0.1 },
];

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const { use, firstHostShare } of SITUATIONS) {
        for (const limit of LIMITS) {
            const durationMs = DURATION_MS * scale;
            const profile = PROFILES.shorepermit;
            const figures = await runPooled({
                seed,
                profile,
                use,
                durationMs,
                faults: [],
                picker: {},
                limit,
                firstHostShare,
            });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                "load / capacity": use,
                "at the first host": firstHostShare,
                "limit of a host": limit,
                goodput: figures.tally.getGoodput(profile.servers * profile.slots),
                "read good %": 100 * read.good / read.requests,
                "once good %": 100 * once.good / once.requests,
                "once unknown": once.unknown,
                "read p99 ms": read.p99,
                "once p99 ms": once.p99,
                "attempts/request": figures.attempts / figures.requests,
                "peak connections": figures.peakConnections,
                "false refusals": figures.falseRefusals,
                reasons: figures.tally.getReasons(),
            });
        }
    }
    return { name: NAME, rows, plots: [] };
}

EXPERIMENTS.register({
    name: NAME,
    question: "How many requests may one of ten entry hosts have at one pooled server of four slots?",
    run,
});

export { run as runPooledLimits };
