import { Objective } from "@arbutusdoor/configuration";
import { planMoves } from "@arbutusdoor/policy";
import { planGreedily } from "../systems/planGreedily.js";
import { PROFILES } from "../workload/profiles.js";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";
import { EXPERIMENTS } from "./experiments.js";
import { runRebalancing } from "./runRebalancing.js";

const NAME = "rebalancing";
const DURATION_MS = 120_000;
const HOT_INTERVAL_MS = 40_000;
const USE = 0.35;

/** Longer slot times than elsewhere, so that minutes can be simulated: the same use with fewer requests. */
const WORK_FACTOR = 5;

const OBJECTIVES = {
    aqaba: Objective.parse({
        imbalance: 0.8,
        churn: 0.1,
        unavailability: 0.1,
        restMs: 20_000,
        movesPerMinute: 30,
    }),
    lima: Objective.parse({ imbalance: 0.2, churn: 0.4, unavailability: 0.4, restMs: 60_000 }),
};

const PLANS = [
    { name: "stay", plan: () => [] },
    { name: "greedy", plan: planGreedily },
    { name: "aqaba's weights", plan: planMoves, objective: OBJECTIVES.aqaba },
    { name: "lima's weights", plan: planMoves, objective: OBJECTIVES.lima },
];

async function run({ seed, scale }: BenchOptions): Promise<ExperimentResult> {
    const rows: Record<string, string | number>[] = [];
    const lines: { name: string; points: number[]; }[] = [];
    for (const base of [PROFILES.gustboard, PROFILES.agenda]) {
        const classes = base.classes.map(profile => ({ ...profile, work: WORK_FACTOR * profile.work }));
        for (const { name, plan, objective } of PLANS) {
            const figures = await runRebalancing({
                seed,
                profile: { ...base, classes },
                use: USE,
                durationMs: DURATION_MS * scale,
                hotIntervalMs: HOT_INTERVAL_MS,
                objective: objective ?? OBJECTIVES.aqaba,
                plan,
            });
            const read = figures.tally.getSummary("read");
            const once = figures.tally.getSummary("once");
            rows.push({
                service: base.name,
                moves: name,
                "imbalance mean": figures.imbalance.getMean(),
                "imbalance p99": figures.imbalance.getP99(),
                "slices moved": figures.moves,
                splits: figures.splits,
                "churn of all keys / h": figures.churnPerHour,
                "unavailable ms / key / h": figures.unavailableMsPerHour,
                "read good %": 100 * read.good / read.requests,
                "once good %": 100 * once.good / once.requests,
                "read p99 ms": read.p99,
                "once p99 ms": once.p99,
                "false refusals": figures.falseRefusals,
                reasons: figures.tally.getReasons(),
            });
            lines.push({ name: `${base.name}, ${name}`, points: figures.imbalance.samples });
        }
    }
    return { name: NAME, rows, plots: [{ title: "imbalance (max / mean) by second", lines }] };
}

EXPERIMENTS.register({
    name: NAME,
    question: "What do moves cost and gain when the hot key changes, by each user's weights?",
    run,
});

export { run as runRebalancingExperiment };
