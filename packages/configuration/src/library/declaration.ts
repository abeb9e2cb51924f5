import { InputError } from "@arbutusdoor/common";
import type * as z from "zod";
import { checkDeclaration } from "../check/checkDeclaration.js";
import type { Declaration } from "../declaration/declaration.js";

/** Builds a declaration and checks it. Throws InputError that lists every problem. */
export function declaration(fields: Omit<z.input<typeof Declaration>, "format">): Declaration {
    const result = checkDeclaration({ format: 1, ...fields });
    if (result.kind === "valid") {
        return result.declaration;
    }
    const lines = result.problems.map(({ path, message }) => `${path}: ${message}`);
    throw new InputError(`the declaration has problems:\n${lines.join("\n")}`);
}
