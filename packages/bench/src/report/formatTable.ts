import type { ExperimentResult } from "../experiments/experimentResult.js";

/** The rows of an experiment as a Markdown table. */
export function formatTable({ rows }: ExperimentResult): string {
    const columns = Object.keys(rows[0] ?? {});
    const lines = rows.map(row => `| ${columns.map(column => formatCell(row[column])).join(" | ")} |`);
    const head = `| ${columns.join(" | ")} |`;
    const rule = `|${columns.map(() => "---").join("|")}|`;
    return [head, rule, ...lines].join("\n");
}

function formatCell(value: string | number | undefined): string {
    if (typeof value !== "number") {
        return value ?? "";
    }
    return Number.isInteger(value) ? String(value) : value.toFixed(Math.abs(value) < 10 ? 2 : 1);
}
