import type { Fault } from "../simulation/fault.js";
import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runPooled } from "./runPooled.js";

const NAME = "pooled-pickers";
const DURATION_MS = 6_000;
const FAULT_FROM_MS = 1_500;
const FAULT_UNTIL_MS = 4_000;
const USE = 0.6;

const FAULT_KINDS: readonly (Fault["kind"] | "none")[] = [
    "none",
    "freeze",
    "slow",
    "cold",
    "lying",
    "shed",
    "restart",
];

const SHARE_OF_CONNECTIONS = 11;

/** First the plain pickers with all of the host's connections, then those with ejection and the limit of a host. */
const VARIANTS: readonly { picker: string; isEjecting: boolean; limit: number | undefined; }[] = [
    { picker: "random", isEjecting: false, limit: SHARE_OF_CONNECTIONS },
    { picker: "roundRobin", isEjecting: false, limit: SHARE_OF_CONNECTIONS },
    { picker: "leastReported", isEjecting: false, limit: SHARE_OF_CONNECTIONS },
    { picker: "twoChoices", isEjecting: false, limit: SHARE_OF_CONNECTIONS },
    { picker: "leastCost", isEjecting: false, limit: SHARE_OF_CONNECTIONS },
    { picker: "credit", isEjecting: false, limit: undefined },
    { picker: "random", isEjecting: true, limit: undefined },
    { picker: "credit", isEjecting: true, limit: undefined },
    { picker: "rateCredit", isEjecting: true, limit: undefined },
    { picker: "twoChoices", isEjecting: true, limit: undefined },
    { picker: "leastCost", isEjecting: true, limit: undefined },
];

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const kind of FAULT_KINDS) {
        for (const { picker, isEjecting, limit } of VARIANTS) {
            const faults = kind === "none" ? [] : [{ kind, from: FAULT_FROM_MS, until: FAULT_UNTIL_MS }];
            const profile = PROFILES.shorepermit;
            const durationMs = DURATION_MS * scale;
            const figures = await runPooled({
                seed,
                profile,
                use: USE,
                durationMs,
                faults,
                picker: { picker, isEjecting },
                limit,
            });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                fault: kind,
                picker: isEjecting ? `${picker}+ejection` : picker,
                limit: limit ?? "host's",
                "read good %": 100 * read.good / read.requests,
                "once good %": 100 * once.good / once.requests,
                "read p50 ms": read.p50,
                "read p99 ms": read.p99,
                "read p999 ms": read.p999,
                "once p99 ms": once.p99,
                "once unknown": once.unknown,
                "imbalance mean": figures.imbalance.getMean(),
                "imbalance p99": figures.imbalance.getP99(),
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
    question:
        "Which picker copes with each fault of one of six servers, ten entry hosts deciding by themselves?",
    run,
});

export { run as runPooledPickers };
