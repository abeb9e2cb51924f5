import type { Declaration } from "../declaration/declaration.js";

/** Result of reading the text of a stored declaration. */
export type BodyReading =
    | { readonly kind: "declaration"; readonly declaration: Declaration; }
    | { readonly kind: "malformed"; readonly reason: string; };
