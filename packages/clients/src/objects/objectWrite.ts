/** Result of writing an object. After `unknown` the object may exist; writing the same bytes again is harmless. */
export type ObjectWrite =
    | { readonly kind: "stored"; }
    | { readonly kind: "notRun"; readonly reason: string; }
    | { readonly kind: "unknown"; readonly reason: string; };
