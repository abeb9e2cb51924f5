import { cac } from "cac";
import { writeFileSync } from "node:fs";
import { wallClock } from "../wallClock.js";
import { formatStudy } from "./report/formatStudy.js";
import { runStudy } from "./runStudy.js";
import { STUDIES } from "./studies.js";
import "./studies/index.js";
import type { StudyResult } from "./studyResult.js";

const MS_IN_SECOND = 1_000;

type Flags = { seed: number; scale: number; only?: string; json?: string; };

const program = cac("capacity");

program.command("", "Measures how state, messages, processor time and memory grow with size")
    .option("--seed <number>", "Seed of all random numbers", { default: 1 })
    .option("--scale <factor>", "Factor on all sizes", { default: 1 })
    .option("--only <name>", "One study")
    .option("--json <file>", "Writes all rows and fits as JSON")
    .action(run);
program.help();
program.parse();

async function run(flags: Flags): Promise<void> {
    const results: StudyResult[] = [];
    const wanted = STUDIES.list().filter(({ name }) => flags.only === undefined || name === flags.only);
    for (const study of wanted) {
        const beganAt = wallClock.now();
        const result = await runStudy(study, { seed: flags.seed, scale: flags.scale });
        results.push(result);
        console.log(formatStudy(result));
        console.log(`(${((wallClock.now() - beganAt) / MS_IN_SECOND).toFixed(1)} s)\n`);
    }
    if (flags.json !== undefined) {
        writeFileSync(flags.json, JSON.stringify(results, undefined, 4));
    }
}
