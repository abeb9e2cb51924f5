import type { StudyOptions } from "./studyOptions.js";

/** Measures figures of one part of the system at several sizes. */
export type Study = {
    readonly name: string;
    readonly question: string;
    /** Column of the rows against which all other columns are fitted. */
    readonly axis: string;
    /** One row for each size; columns carry their units in their names. */
    readonly run: (
        options: StudyOptions,
    ) => Promise<readonly Readonly<Record<string, number>>[]> | readonly Readonly<Record<string, number>>[];
};
