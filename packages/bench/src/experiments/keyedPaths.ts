import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runKeyed } from "./runKeyed.js";

const NAME = "keyed-paths";
const DURATION_MS = 5_000;
const USES = [0.4, 0.6];

const PROFILES_TRIED = [PROFILES.gustboard, PROFILES.agenda];

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const profile of PROFILES_TRIED) {
        const share = Math.floor(profile.connections / 10);
        const paths = [
            { name: "one queue", mode: "relay", limit: profile.slots },
            { name: "one queue, 1 over", mode: "relay", limit: profile.slots + 1 },
            { name: "own queue of 3 grantors", mode: "nearest", limit: profile.slots + 1 },
            { name: `direct, ${share} a host`, mode: "direct", limit: share },
            { name: "direct, 1 a host", mode: "direct", limit: 1 },
        ] as const;
        for (const use of USES) {
            for (const { name, mode, limit } of paths) {
                const durationMs = DURATION_MS * scale;
                const figures = await runKeyed({
                    seed,
                    profile,
                    use,
                    durationMs,
                    mode,
                    limit,
                    queueMode: "admission",
                });
                const read = figures.tally.getSummary("read");
                const once = figures.tally.getSummary("once");
                rows.push({
                    service: profile.name,
                    "mean use": use,
                    path: name,
                    "read good %": 100 * read.good / read.requests,
                    "once good %": 100 * once.good / once.requests,
                    "read p50 ms": read.p50,
                    "read p99 ms": read.p99,
                    "once p99 ms": once.p99,
                    "imbalance mean": figures.imbalance.getMean(),
                    "peak connections": figures.peakConnections,
                    "peak present": figures.peakPresent,
                    goodput: figures.goodput,
                    "false refusals": figures.falseRefusals,
                    reasons: figures.tally.getReasons(),
                });
            }
        }
    }
    return { name: NAME, rows, plots: [] };
}

EXPERIMENTS.register({
    name: NAME,
    question: "One queue at the grantor or direct sending from each of ten entry hosts, with skewed keys?",
    run,
});

export { run as runKeyedPaths };
