import type { LineFit } from "./fit/lineFit.js";

/** Rows of one study with the fits of their columns. */
export type StudyResult = {
    readonly name: string;
    readonly question: string;
    readonly axis: string;
    readonly rows: readonly Readonly<Record<string, number>>[];
    readonly fits: readonly { readonly column: string; readonly fit: LineFit; }[];
};
