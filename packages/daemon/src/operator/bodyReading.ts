/** Result of reading the JSON body of a call; `json` is `undefined` for an empty body. */
export type BodyReading =
    | { readonly kind: "json"; readonly json: unknown; }
    | { readonly kind: "tooLarge"; }
    | { readonly kind: "malformed"; }
    | { readonly kind: "broken"; };
