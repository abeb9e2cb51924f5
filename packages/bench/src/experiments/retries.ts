import type { RetryMode } from "../systems/retryMode.js";
import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runPooled } from "./runPooled.js";

const NAME = "retries";
const DURATION_MS = 8_000;
const USE = 0.7;
const ATTEMPT_TIMEOUT_MS = 150;
const MODES: readonly RetryMode[] = ["budget", "unlimited", "never"];

/** All servers ten times slower at first, warming up: the service as a whole is too slow for a while. */
const SLOW = { kind: "cold", from: 2_000, until: 4_000 } as const;
const ONE_SHEDS = { kind: "shed", from: 2_000, until: 4_000 } as const;

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const situation of ["all slow", "one refuses"] as const) {
        for (const retryMode of MODES) {
            const isEverywhere = situation === "all slow";
            const figures = await runPooled({
                seed,
                profile: PROFILES.shorepermit,
                use: USE,
                durationMs: DURATION_MS * scale,
                faults: [isEverywhere ? SLOW : ONE_SHEDS],
                isEverywhere,
                picker: {},
                retryMode,
                attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
            });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                situation,
                retries: retryMode,
                "read good %": 100 * read.good / read.requests,
                "once good %": 100 * once.good / once.requests,
                "once unknown": once.unknown,
                "read p99 ms": read.p99,
                "attempts/request": figures.attempts / figures.requests,
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
    question: "Does the retry budget keep a slow service alive, and still help with one faulty server?",
    run,
});

export { run as runRetries };
