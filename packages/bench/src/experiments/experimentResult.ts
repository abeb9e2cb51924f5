import type { Plot } from "../report/plot.js";

/** Figures of one experiment: a row for each policy in each situation. */
export type ExperimentResult = {
    readonly name: string;
    readonly rows: readonly Readonly<Record<string, string | number>>[];
    readonly plots: readonly Plot[];
};
