import type { Declaration } from "../declaration/declaration.js";
import { getCanonicalDeclaration } from "./getCanonicalDeclaration.js";

const INDENT_WIDTH = 4;

/** Formats a declaration as canonical JSON: the same declaration gives the same bytes in whatever order it was built. */
export function printDeclaration(declaration: Declaration): string {
    const canonical = sortFields(getCanonicalDeclaration(declaration));
    return JSON.stringify(canonical, undefined, INDENT_WIDTH) + "\n";
}

function sortFields(value: unknown): unknown {
    if (Array.isArray(value)) {
        return value.map(sortFields);
    }
    if (typeof value !== "object" || !value) {
        return value;
    }
    const fields = Object.entries(value).sort(([left], [right]) => left < right ? -1 : 1);
    return Object.fromEntries(fields.map(([name, field]) => [name, sortFields(field)]));
}
