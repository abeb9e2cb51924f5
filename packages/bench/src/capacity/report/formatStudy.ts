import { formatTable } from "../../report/formatTable.js";
import type { StudyResult } from "../studyResult.js";

const DIGITS = 4;

/** A study's rows and fits as Markdown. */
export function formatStudy({ name, question, axis, rows, fits }: StudyResult): string {
    const fitted = fits.map(({ column, fit }) => ({
        figure: column,
        [`slope per ${axis}`]: toPrecision(fit.slope),
        intercept: toPrecision(fit.intercept),
        "R²": toPrecision(fit.determination),
        exponent: toPrecision(fit.exponent),
    }));
    const tables = [rows, fitted].map(some => formatTable({ name, rows: some, plots: [] }));
    return `## ${name}\n\n${question}\n\n${tables.join("\n\n")}\n`;
}

function toPrecision(value: number): string {
    return String(Number(value.toPrecision(DIGITS)));
}
