import type { ExperimentResult } from "../experiments/experimentResult.js";
import { drawPlot } from "./drawPlot.js";

/** A page with the tables and plots of all experiments, without scripts or outside resources. */
export function formatReport(results: readonly ExperimentResult[], seed: number): string {
    const parts = results.map(result => {
        const plots = result.plots.map(drawPlot).join("\n");
        return `<h2>${result.name}</h2>\n${formatRows(result)}\n${plots}`;
    });
    return [
        "<!doctype html><html lang=\"en\"><head><meta charset=\"utf-8\"><title>arbutusdoor bench</title>",
        "<style>body{font-family:sans-serif}td,th{border:1px solid #ccc;padding:2px 6px}",
        "table{border-collapse:collapse;font-size:small}</style></head><body>",
        `<h1>arbutusdoor bench, seed ${seed}</h1>`,
        ...parts,
        "</body></html>\n",
    ].join("\n");
}

function formatRows({ rows }: ExperimentResult): string {
    const columns = Object.keys(rows[0] ?? {});
    const head = columns.map(column => `<th>${column}</th>`).join("");
    const lines = rows.map(row =>
        `<tr>${columns.map(column => `<td>${formatCell(row[column])}</td>`).join("")}</tr>`
    );
    return `<table><tr>${head}</tr>${lines.join("\n")}</table>`;
}

function formatCell(value: string | number | undefined): string {
    return typeof value === "number" && !Number.isInteger(value) ? value.toFixed(2) : String(value ?? "");
}
