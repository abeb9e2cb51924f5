import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runKeyed } from "./runKeyed.js";

const NAME = "overload";
const DURATION_MS = 4_000;
const USES = [0.8, 2, 5];
const SERVERS = 4;
const EVEN = { skew: 0, hotShare: 0, keys: 6_400 };

/** Once-class requests need 0.15 of the slot time at a use of 1, so at 5 they fit only if everything else goes. */
const VARIANTS = [
    { name: "one queue, admission", mode: "relay", queueMode: "admission", limit: 4 },
    { name: "one queue, admission, 1 over", mode: "relay", queueMode: "admission", limit: 5 },
    { name: "one queue, admission, 2 over", mode: "relay", queueMode: "admission", limit: 6 },
    { name: "one queue, plain", mode: "relay", queueMode: "plain", limit: 4 },
    { name: "direct, admission", mode: "direct", queueMode: "admission", limit: 11 },
    { name: "direct, plain", mode: "direct", queueMode: "plain", limit: 11 },
] as const;

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    const profile = { ...PROFILES.gustboard, ...EVEN, servers: SERVERS };
    for (const use of USES) {
        for (const { name, ...variant } of VARIANTS) {
            const durationMs = DURATION_MS * scale;
            const figures = await runKeyed({ seed, profile, use, durationMs, ...variant });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                "load / capacity": use,
                queue: name,
                "goodput / capacity": figures.goodput,
                "read good %": 100 * read.good / read.requests,
                "once good %": 100 * once.good / once.requests,
                "once refused": once.refused,
                "once unknown": once.unknown,
                "read p99 ms": read.p99,
                "once p99 ms": once.p99,
                "false refusals": figures.falseRefusals,
                repeated: figures.repeated,
                reasons: figures.tally.getReasons(),
            });
        }
    }
    return { name: NAME, rows, plots: [] };
}

EXPERIMENTS.register({
    name: NAME,
    question:
        "What is still answered in time at twice and five times the capacity, and is every refusal true?",
    run,
});

export { run as runOverload };
