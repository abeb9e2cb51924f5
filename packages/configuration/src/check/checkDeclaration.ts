import { Declaration } from "../declaration/declaration.js";
import { getCanonicalDeclaration } from "../library/getCanonicalDeclaration.js";
import type { DeclarationCheck } from "./declarationCheck.js";
import { getNameProblems } from "./getNameProblems.js";
import { getServerProblems } from "./getServerProblems.js";
import { getServiceProblems } from "./getServiceProblems.js";
import { getShapeProblems } from "./getShapeProblems.js";

const MAX_PROBLEMS = 100;

/** Checks parsed JSON: first its shape, then the consistency between its parts. Returns at most 100 problems. */
export function checkDeclaration(json: unknown): DeclarationCheck {
    const parsed = Declaration.safeParse(json);
    if (!parsed.success) {
        return { kind: "invalid", problems: getShapeProblems(parsed.error).slice(0, MAX_PROBLEMS) };
    }
    const problems = [
        ...getNameProblems(parsed.data),
        ...getServerProblems(parsed.data),
        ...getServiceProblems(parsed.data),
    ];
    if (problems.length > 0) {
        return { kind: "invalid", problems: problems.slice(0, MAX_PROBLEMS) };
    }
    return { kind: "valid", declaration: getCanonicalDeclaration(parsed.data) };
}
