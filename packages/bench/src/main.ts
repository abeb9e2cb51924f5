import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { formatReport } from "./report/formatReport.js";
import { runBench } from "./runBench.js";
import { wallClock } from "./wallClock.js";

const LONG_SCALE = 5;
const MS_IN_SECOND = 1_000;

type Flags = { seed: number; long?: boolean; only?: string; json?: string; report?: string; };

const program = cac("bench");

program.command("", "Runs the simulated experiments and prints their figures")
    .option("--seed <number>", "Seed of all random numbers", { default: 1 })
    .option("--long", "Five times the simulated time")
    .option("--only <name>", "One experiment")
    .option("--json <file>", "Writes all rows as JSON")
    .option("--report <file>", "Writes all rows and plots as a page")
    .action(run);
program.help();
program.parse();

async function run(flags: Flags): Promise<void> {
    const options = { seed: flags.seed, scale: flags.long ? LONG_SCALE : 1 };
    const startedAt = wallClock.now();
    const results = await runBench(options, flags.only, console.log);
    console.log(`${((wallClock.now() - startedAt) / MS_IN_SECOND).toFixed(1)} s`);
    if (flags.json !== undefined) {
        writeFileSync(flags.json, JSON.stringify(results, undefined, 4));
    }
    if (flags.report !== undefined) {
        writeFileSync(flags.report, formatReport(results, flags.seed));
    }
}
