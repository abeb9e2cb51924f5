import type { Declaration } from "../declaration/declaration.js";
import type { Problem } from "./problem.js";

/** Result of checking a declaration. A valid one is returned with defaults filled in and in canonical order. */
export type DeclarationCheck =
    | { readonly kind: "valid"; readonly declaration: Declaration; }
    | { readonly kind: "invalid"; readonly problems: readonly Problem[]; };
