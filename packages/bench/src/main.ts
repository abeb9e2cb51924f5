import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { EXPERIMENTS } from "./experiments/experiments.js";
import "./experiments/keyedPaths.js";
import "./experiments/overload.js";
import "./experiments/pooledLimits.js";
import "./experiments/pooledPickers.js";
import "./experiments/rebalancing.js";
import "./experiments/retries.js";
import type { ExperimentResult } from "./experiments/experimentResult.js";
import { formatTable } from "./report/formatTable.js";

const LONG_SCALE = 5;
const MS_IN_SECOND = 1_000;

type Flags = { seed: number; long?: boolean; only?: string; json?: string; report?: string; };

const program = cac("bench");

program.command("", "Runs the simulated experiments and prints their figures")
    .option("--seed <number>", "Seed of all random numbers", { default: 1 })
    .option("--long", "Five times the simulated time")
    .option("--only <name>", "One experiment")
    .option("--json <file>", "Writes all rows as JSON")
    .action(run);
program.help();
program.parse();

async function run(flags: Flags): Promise<void> {
    const results: ExperimentResult[] = [];
    for (const experiment of EXPERIMENTS.list()) {
        if (flags.only !== undefined && flags.only !== experiment.name) {
            continue;
        }
        const startedAt = performance.now();
        const result = await experiment.run({ seed: flags.seed, scale: flags.long ? LONG_SCALE : 1 });
        const seconds = (performance.now() - startedAt) / MS_IN_SECOND;
        results.push(result);
        console.log(`## ${experiment.name}\n\n${experiment.question}\n\n${formatTable(result)}\n`);
        console.log(`(${seconds.toFixed(1)} s)\n`);
    }
    if (flags.json !== undefined) {
        writeFileSync(flags.json, JSON.stringify(results, undefined, 4));
    }
}
