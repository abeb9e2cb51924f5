import type * as z from "zod";
import type { Problem } from "./problem.js";

/** Converts the issues of a schema to problems, with paths such as `services[0].name`. */
export function getShapeProblems(error: z.ZodError): Problem[] {
    return error.issues.map(issue => ({ path: printPath(issue.path), message: issue.message }));
}

function printPath(path: readonly PropertyKey[]): string {
    let printed = "";
    for (const step of path) {
        if (typeof step === "number") {
            printed += `[${step}]`;
        }
        else {
            printed += printed === "" ? String(step) : `.${String(step)}`;
        }
    }
    return printed;
}
