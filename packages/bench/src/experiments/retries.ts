import type { RetryMode } from "../systems/retryMode.js";
import { PROFILES } from "../workload/profiles.js";
import type { ServiceProfile } from "../workload/serviceProfile.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runPooled } from "./runPooled.js";

const NAME = "retries";
const DURATION_MS = 6_000;
const ATTEMPT_TIMEOUT_MS = 100;
const MODES: readonly RetryMode[] = ["budget", "unlimited", "never"];
const FAULT = { from: 1_500, until: 4_500 };
const RETRIES = 5;
const READ_WORK_MS = 8;
const ONCE_WORK_MS = 12;

/** While all servers are ten times slower, the load is one and a half times the capacity. */
const SITUATIONS = [
    { name: "all slow", fault: { kind: "slow", ...FAULT }, isEverywhere: true, use: 0.15 },
    { name: "one refuses", fault: { kind: "shed", ...FAULT }, isEverywhere: false, use: 0.6 },
] as const;

function getProfile(): ServiceProfile {
    const classes = PROFILES.shorepermit.classes.map(profile => ({
        ...profile,
        work: profile.isIdempotent ? READ_WORK_MS : ONCE_WORK_MS,
        retries: RETRIES,
    }));
    return { ...PROFILES.shorepermit, classes };
}

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const { name, fault, isEverywhere, use } of SITUATIONS) {
        for (const retryMode of MODES) {
            const figures = await runPooled({
                seed,
                profile: getProfile(),
                use,
                durationMs: DURATION_MS * scale,
                faults: [fault],
                isEverywhere,
                picker: {},
                retryMode,
                attemptTimeoutMs: ATTEMPT_TIMEOUT_MS,
            });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                situation: name,
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
