import type { Problem } from "./problem.js";

/** Returns a problem for each element of `path` that equals an earlier one. */
export function getDuplicateProblems(path: string, subject: string, texts: readonly string[]): Problem[] {
    const seen = new Set<string>();
    const problems: Problem[] = [];
    for (const [index, text] of texts.entries()) {
        if (seen.has(text)) {
            problems.push({ path: `${path}[${index}]`, message: `${subject} "${text}" is declared twice` });
        }
        seen.add(text);
    }
    return problems;
}
