import { Registry } from "@arbutusdoor/common";
import type { BenchOptions } from "./benchOptions.js";
import type { ExperimentResult } from "./experimentResult.js";

type Experiment = {
    readonly name: string;
    readonly question: string;
    readonly run: (options: BenchOptions) => Promise<ExperimentResult>;
};

/** The experiments of the bench; each registers itself when its module is loaded. */
export const EXPERIMENTS = new Registry<Experiment>();
