import type { PoolPickerSettings } from "@arbutusdoor/policy";
import type { Fault } from "../simulation/fault.js";
import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runPooled } from "./runPooled.js";

const NAME = "pooled-pickers";
const DURATION_MS = 8_000;
const FAULT_FROM_MS = 2_000;
const FAULT_UNTIL_MS = 5_000;
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

const PICKERS: readonly Partial<PoolPickerSettings>[] = [
    { picker: "random", isEjecting: false },
    { picker: "roundRobin", isEjecting: false },
    { picker: "leastReported", isEjecting: false },
    { picker: "twoChoices", isEjecting: false },
    { picker: "credit", isEjecting: false },
    { picker: "twoChoices", isEjecting: true },
    { picker: "credit", isEjecting: true },
    { picker: "rateCredit", isEjecting: true },
    { picker: "leastCost", isEjecting: true },
];

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    for (const kind of FAULT_KINDS) {
        for (const picker of PICKERS) {
            const faults = kind === "none" ? [] : [{ kind, from: FAULT_FROM_MS, until: FAULT_UNTIL_MS }];
            const profile = PROFILES.shorepermit;
            const durationMs = DURATION_MS * scale;
            const figures = await runPooled({ seed, profile, use: USE, durationMs, faults, picker });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                fault: kind,
                picker: `${picker.picker}${picker.isEjecting ? "+ejection" : ""}`,
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
