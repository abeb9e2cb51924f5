import type { BenchOptions } from "./experiments/benchOptions.js";
import type { ExperimentResult } from "./experiments/experimentResult.js";
import { EXPERIMENTS } from "./experiments/experiments.js";
import "./experiments/keyedPaths.js";
import "./experiments/overload.js";
import "./experiments/pooledLimits.js";
import "./experiments/pooledPickers.js";
import "./experiments/rebalancing.js";
import "./experiments/retries.js";
import { formatTable } from "./report/formatTable.js";

/** Runs all experiments, or the one of a name, and prints the figures of each as a Markdown table. */
export async function runBench(
    options: BenchOptions,
    only: string | undefined,
    print: (text: string) => void,
): Promise<ExperimentResult[]> {
    const results: ExperimentResult[] = [];
    for (const experiment of EXPERIMENTS.list()) {
        if (only === undefined || only === experiment.name) {
            const result = await experiment.run(options);
            results.push(result);
            print(`## ${experiment.name}\n\n${experiment.question}\n\n${formatTable(result)}\n`);
        }
    }
    return results;
}
