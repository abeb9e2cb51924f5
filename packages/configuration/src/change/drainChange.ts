import type { Declaration } from "../declaration/declaration.js";

/** Result of marking a server as draining. */
export type DrainChange =
    | { readonly kind: "changed"; readonly declaration: Declaration; }
    | { readonly kind: "alreadyDraining"; }
    | { readonly kind: "unknownServer"; };
